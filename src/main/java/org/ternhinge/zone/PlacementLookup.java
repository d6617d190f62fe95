package org.ternhinge.zone;

import java.util.Optional;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;

/** Facts about the jobs and machines of a plan that are needed to limit it. */
public interface PlacementLookup {
  /** The name of a machine's zone; empty where the machine or its zone is unknown. */
  Optional<String> zoneOf(MachineId machine);

  /** Whether the tasks of a job start together or not at all. */
  boolean isGang(JobId job);
}
