package org.ternhinge.zone;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.ternhinge.model.JobId;

/**
 * The status of all zones at one time, as an immutable value that is read without a lock. The maps
 * are persistent, so that the next value shares everything that did not change with this one.
 *
 * @param zones status by name
 * @param held displaced tasks that must not be placed yet, by job
 */
record ZoneSnapshot(PMap<String, ZoneStatus> zones, PMap<JobId, PSet<Integer>> held) {
  /** Without zones and without held tasks. */
  static final ZoneSnapshot EMPTY = new ZoneSnapshot(HashTreePMap.empty(), HashTreePMap.empty());

  /** The same with other held tasks of a job. */
  ZoneSnapshot withHeld(JobId job, PSet<Integer> tasks) {
    return new ZoneSnapshot(zones, tasks.isEmpty() ? held.minus(job) : held.plus(job, tasks));
  }

  /** The state of a zone; an unknown one is available. */
  ZoneState state(String zone) {
    ZoneStatus status = zones.get(zone);
    return status == null ? ZoneState.AVAILABLE : status.state();
  }

  /** Whether no zone is restricted and no task held. */
  boolean isUnrestricted() {
    return held.isEmpty() && allAvailable();
  }

  /** Whether every zone takes work without a limit. */
  boolean allAvailable() {
    for (ZoneStatus status : zones.values()) {
      if (status.state() != ZoneState.AVAILABLE) {
        return false;
      }
    }
    return true;
  }
}
