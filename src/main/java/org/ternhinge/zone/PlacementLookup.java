package org.ternhinge.zone;

import java.util.Optional;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;

/** Looks up the properties of jobs and machines that are needed to limit a plan. */
public interface PlacementLookup {
  /** Returns the zone name of a machine; empty if the machine or its zone is unknown. */
  Optional<String> zoneOf(MachineId machine);

  /** Whether the tasks of a job start together or not at all. */
  boolean isGang(JobId job);
}
