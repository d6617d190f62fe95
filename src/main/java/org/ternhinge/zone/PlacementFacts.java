package org.ternhinge.zone;

import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;

/** What has to be known of a plan's jobs and machines to limit it. */
public interface PlacementFacts {
  /** The name of a machine's zone, or null where it is not known. */
  String zoneOf(MachineId machine);

  /** Whether the tasks of a job start together or not at all. */
  boolean isGang(JobId job);
}
