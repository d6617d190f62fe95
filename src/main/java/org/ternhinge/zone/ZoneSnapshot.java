package org.ternhinge.zone;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.ternhinge.model.JobId;

/**
 * All that is known of the zones at one time, as one immutable value: readers need no lock. The
 * maps are persistent, so that the next value shares all with this one that did not change.
 *
 * @param zones by name
 * @param held tasks that have lost their attempt with a zone and are not to be placed yet
 */
public record ZoneSnapshot(PMap<String, ZoneStatus> zones, PMap<JobId, PSet<Integer>> held) {
  /** Nothing is known and nothing held. */
  public static final ZoneSnapshot EMPTY =
      new ZoneSnapshot(HashTreePMap.empty(), HashTreePMap.empty());

  /** The same with other tasks of a job held. */
  ZoneSnapshot withHeld(JobId job, PSet<Integer> tasks) {
    return new ZoneSnapshot(zones, tasks.isEmpty() ? held.minus(job) : held.plus(job, tasks));
  }

  /** The state of a zone; one that is not known is available. */
  public ZoneState state(String zone) {
    ZoneStatus status = zones.get(zone);
    return status == null ? ZoneState.AVAILABLE : status.state();
  }

  /** Whether nothing is restricted anywhere. */
  public boolean isCalm() {
    return held.isEmpty() && allAvailable();
  }

  /** Whether every zone takes work without a limit. */
  public boolean allAvailable() {
    for (ZoneStatus status : zones.values()) {
      if (status.state() != ZoneState.AVAILABLE) {
        return false;
      }
    }
    return true;
  }
}
