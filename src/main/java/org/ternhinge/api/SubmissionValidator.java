package org.ternhinge.api;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Team;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.RecordSize;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.MachineType;

/**
 * Rejects jobs that can never run, based only on their specification and the deployment's settings.
 */
public final class SubmissionValidator {
  private SubmissionValidator() {}

  /**
   * Validates a job specification.
   *
   * @param machineTypes all machine types by name
   * @return the first reason for rejection, or empty if the job is valid
   */
  public static Optional<SubmissionRejection> validate(
      JobSpec spec, Settings settings, Map<String, MachineType> machineTypes) {
    Team team = settings.teams().get(spec.team());
    if (team == null) {
      return Optional.of(SubmissionRejection.UNKNOWN_TEAM);
    }
    if (!fitsAnyType(spec, machineTypes.values())) {
      return Optional.of(SubmissionRejection.NO_MACHINE_TYPE);
    }
    int tasksAtOnce = tasksAtOnce(spec);
    if (!Ledger.isWithinLimits(team, spec.taskResources().times(tasksAtOnce))) {
      return Optional.of(SubmissionRejection.ABOVE_TEAM_LIMIT);
    }
    if (spec.dependencies().contains(spec.id())) {
      return Optional.of(SubmissionRejection.DEPENDS_ON_ITSELF);
    }
    if (!RecordSize.fits(spec, settings.storeLimits().valueBytes())) {
      return Optional.of(SubmissionRejection.DESCRIPTION_TOO_LONG);
    }
    return validateZones(spec, tasksAtOnce);
  }

  /** Returns the minimum number of tasks that must run simultaneously for the job to run at all. */
  private static int tasksAtOnce(JobSpec spec) {
    return spec.kind() == JobKind.ARRAY ? 1 : spec.tasks();
  }

  private static Optional<SubmissionRejection> validateZones(JobSpec spec, int tasksAtOnce) {
    boolean tooManyForOneZone = spec.spreadAcrossZones() && tasksAtOnce > spec.maxTasksPerZone();
    if (tooManyForOneZone && spec.zone().isPresent()) {
      return Optional.of(SubmissionRejection.SCATTERED_IN_ONE_ZONE);
    }
    if (tooManyForOneZone && spec.singleZone()) {
      return Optional.of(SubmissionRejection.TOGETHER_AND_SCATTERED);
    }
    return Optional.empty();
  }

  private static boolean fitsAnyType(JobSpec spec, Collection<MachineType> machineTypes) {
    return machineTypes.stream().anyMatch(machineType -> fitsType(spec, machineType));
  }

  private static boolean fitsType(JobSpec spec, MachineType machineType) {
    return spec.allowsType(machineType.name())
        && (spec.zone().isEmpty() || machineType.zones().contains(spec.zone().get()))
        && spec.taskResources().fitsIn(machineType.capacity());
  }
}
