package org.ternhinge.zone;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.ternhinge.model.JobId;

/**
 * The status of all zones at one time, as an immutable value that is read without a lock. The maps
 * are persistent data structures, so consecutive snapshots share all unchanged parts.
 *
 * @param zones status by name
 * @param held displaced tasks that must not be placed yet, by job
 */
record ZoneSnapshot(PMap<String, ZoneStatus> zones, PMap<JobId, PSet<Integer>> held) {
  /** A snapshot without zones and held tasks. */
  static final ZoneSnapshot EMPTY = new ZoneSnapshot(HashTreePMap.empty(), HashTreePMap.empty());

  /** Returns a copy with the held tasks of a job replaced. */
  ZoneSnapshot withHeld(JobId job, PSet<Integer> tasks) {
    return new ZoneSnapshot(zones, tasks.isEmpty() ? held.minus(job) : held.plus(job, tasks));
  }

  /** Returns the state of a zone; an unknown zone is available. */
  ZoneState state(String zone) {
    ZoneStatus status = zones.get(zone);
    return status == null ? ZoneState.AVAILABLE : status.state();
  }

  /** Whether all zones are available and no task is held. */
  boolean isUnrestricted() {
    return held.isEmpty() && allAvailable();
  }

  /** Whether every zone accepts work without a limit. */
  boolean allAvailable() {
    for (ZoneStatus status : zones.values()) {
      if (status.state() != ZoneState.AVAILABLE) {
        return false;
      }
    }
    return true;
  }
}
