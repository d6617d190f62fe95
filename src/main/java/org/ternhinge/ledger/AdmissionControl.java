package org.ternhinge.ledger;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.ternhinge.config.Team;
import org.ternhinge.ledger.Ledger.Placement;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.JobSpec;

/**
 * Admission control for task starts, independent of the scheduling policy: checks the job's state,
 * duplicate starts, complete gangs, permitted machine types, zones and spot machines, free machine
 * resources, the team's limit and space in the job's record. It has no side effects.
 */
final class AdmissionControl {
  private final Map<String, Team> teams;
  private final int valueBytes;
  private final ResourceUsage usage;

  /**
   * Creates an admission control that enforces the limits of the teams.
   *
   * @param valueBytes maximum size of a value in the key-value store
   */
  AdmissionControl(Map<String, Team> teams, int valueBytes, ResourceUsage usage) {
    this.teams = teams;
    this.valueBytes = valueBytes;
    this.usage = usage;
  }

  /**
   * Checks placements of one job, which are admitted together or not at all.
   *
   * @param stillReported whether a machine still reports a task that has no open attempt
   * @return the first reason for a refusal, or empty if the placements are admitted
   */
  Optional<AdmissionRefusal> check(
      Job job, List<Placement> placements, Predicate<TaskId> stillReported) {
    Optional<AdmissionRefusal> refusal = checkJob(job, placements);
    PlacementChecks checks = new PlacementChecks(job, stillReported);
    for (Placement placement : placements) {
      if (refusal.isPresent()) {
        return refusal;
      }
      refusal = checks.next(placement);
    }
    return refusal
        .or(() -> checkTeamLimit(job.spec(), placements.size()))
        .or(() -> checkRecordCapacity(job, placements));
  }

  private Optional<AdmissionRefusal> checkJob(Job job, List<Placement> placements) {
    JobSpec spec = job.spec();
    if (placements.isEmpty()) {
      return Optional.of(AdmissionRefusal.NOTHING_TO_PLACE);
    }
    if (job.isCancelled() || job.isFinished()) {
      return Optional.of(AdmissionRefusal.JOB_NOT_ACTIVE);
    }
    if (job.hasUnmetDependencies()) {
      return Optional.of(AdmissionRefusal.UNMET_DEPENDENCIES);
    }
    if (spec.isGang()
        && (placements.size() != spec.tasks() || !job.openAttemptsByTask().isEmpty())) {
      return Optional.of(AdmissionRefusal.GANG_INCOMPLETE);
    }
    return refuseIf(!teams.containsKey(spec.team()), AdmissionRefusal.UNKNOWN_TEAM);
  }

  private Optional<AdmissionRefusal> checkTeamLimit(JobSpec spec, int tasks) {
    Resources used = usage.ofTeam(spec.team()).plus(spec.taskResources().times(tasks));
    return refuseIf(
        !Ledger.isWithinLimits(teams.get(spec.team()), used), AdmissionRefusal.TEAM_LIMIT);
  }

  private Optional<AdmissionRefusal> checkRecordCapacity(Job job, List<Placement> placements) {
    return refuseIf(
        filterFitting(job, placements).size() < placements.size(), AdmissionRefusal.RECORD_FULL);
  }

  /** Returns the placements whose attempts fit the job's record. */
  List<Placement> filterFitting(Job job, List<Placement> placements) {
    if (SegmentCapacity.isUnlimited(job, valueBytes)) {
      return placements;
    }
    SegmentCapacity capacity = new SegmentCapacity(job, valueBytes);
    return placements.stream()
        .filter(
            placement ->
                capacity.reserve(
                    placement.index(),
                    job.highestAttempt().next(),
                    placement.machine().id(),
                    placement.machine().epoch()))
        .toList();
  }

  private static Optional<AdmissionRefusal> refuseIf(boolean condition, AdmissionRefusal refusal) {
    return condition ? Optional.of(refusal) : Optional.empty();
  }

  /** Checks placements one by one, counting the resources of those checked before. */
  private final class PlacementChecks {
    private final Job job;
    private final JobSpec spec;
    private final Predicate<TaskId> stillReported;
    private final Set<Integer> placed = new HashSet<>();
    private final Map<Integer, Integer> tasksByZone = new HashMap<>();
    private final Map<MachineId, Resources> freeByMachine = new HashMap<>();

    PlacementChecks(Job job, Predicate<TaskId> stillReported) {
      this.job = job;
      this.spec = job.spec();
      this.stillReported = stillReported;
      for (Attempt attempt : job.openAttempts()) {
        tasksByZone.merge(attempt.zone(), 1, Integer::sum);
      }
    }

    Optional<AdmissionRefusal> next(Placement placement) {
      MachineAttributes machine = placement.machine();
      return checkTask(placement.index())
          .or(() -> refuseIf(!permits(machine), AdmissionRefusal.MACHINE_NOT_PERMITTED))
          .or(() -> checkZone(machine.zone()))
          .or(() -> checkMachineCapacity(machine));
    }

    private Optional<AdmissionRefusal> checkTask(int index) {
      if (index < 0 || index >= spec.tasks() || !placed.add(index)) {
        return Optional.of(AdmissionRefusal.NO_SUCH_TASK);
      }
      if (job.isDone(index)) {
        return Optional.of(AdmissionRefusal.TASK_DONE);
      }
      if (job.openAttempt(index) != null) {
        return Optional.of(AdmissionRefusal.TASK_OPEN);
      }
      return refuseIf(
          stillReported.test(new TaskId(spec.id(), index)), AdmissionRefusal.TASK_STILL_REPORTED);
    }

    private boolean permits(MachineAttributes machine) {
      return spec.allowsType(machine.type())
          && spec.allowsZone(machine.zoneName())
          && (!machine.spot() || spec.spotAllowed());
    }

    private Optional<AdmissionRefusal> checkZone(int zone) {
      int tasks = tasksByZone.merge(zone, 1, Integer::sum);
      if (tasks > spec.maxTasksPerZone()) {
        return Optional.of(AdmissionRefusal.ZONE_LIMIT);
      }
      return refuseIf(spec.singleZone() && tasksByZone.size() > 1, AdmissionRefusal.SEVERAL_ZONES);
    }

    private Optional<AdmissionRefusal> checkMachineCapacity(MachineAttributes machine) {
      Resources free =
          freeByMachine
              .computeIfAbsent(machine.id(), id -> machine.capacity().minus(usage.ofMachine(id)))
              .minus(spec.taskResources());
      freeByMachine.put(machine.id(), free);
      boolean full = free.cpus() < 0 || free.gpus() < 0 || free.memory() < 0;
      return refuseIf(full, AdmissionRefusal.MACHINE_FULL);
    }
  }
}
