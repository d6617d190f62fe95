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
 * The one check that every start has to pass, whatever a policy asks for: state of the job, double
 * starts, gangs as a whole, types, zones and kinds of machines, room on the machine, the team's
 * limit and room in the job's record. It only asks and changes nothing.
 */
final class Admission {
  private final Map<String, Team> teams;
  private final int valueBytes;
  private final ResourceUsage usage;

  /**
   * Creates an admission by the limits of the teams.
   *
   * @param valueBytes the most that the key-value store takes as one value
   */
  Admission(Map<String, Team> teams, int valueBytes, ResourceUsage usage) {
    this.teams = teams;
    this.valueBytes = valueBytes;
    this.usage = usage;
  }

  /**
   * Checks placements of one job, which are admitted together or not at all.
   *
   * @param stillShown whether a machine still shows a task that has no open attempt
   * @return the first reason against them, or nothing where they are admitted
   */
  Optional<AdmissionRefusal> check(
      Job job, List<Placement> placements, Predicate<TaskId> stillShown) {
    Optional<AdmissionRefusal> refusal = checkJob(job, placements);
    PlacementChecks checks = new PlacementChecks(job, stillShown);
    for (Placement placement : placements) {
      if (refusal.isPresent()) {
        return refusal;
      }
      refusal = checks.next(placement);
    }
    return refusal
        .or(() -> checkTeamLimit(job.spec(), placements.size()))
        .or(() -> checkRecord(job, placements));
  }

  private Optional<AdmissionRefusal> checkJob(Job job, List<Placement> placements) {
    JobSpec spec = job.spec();
    if (placements.isEmpty()) {
      return Optional.of(AdmissionRefusal.NOTHING_TO_PLACE);
    }
    if (job.cancelled() || job.over()) {
      return Optional.of(AdmissionRefusal.JOB_OVER);
    }
    if (job.hasUnmetDependencies()) {
      return Optional.of(AdmissionRefusal.WAITS_FOR_JOBS);
    }
    if (spec.isGang() && (placements.size() != spec.tasks() || !job.openMap().isEmpty())) {
      return Optional.of(AdmissionRefusal.GANG_INCOMPLETE);
    }
    return refuseIf(!teams.containsKey(spec.team()), AdmissionRefusal.UNKNOWN_TEAM);
  }

  private Optional<AdmissionRefusal> checkTeamLimit(JobSpec spec, int tasks) {
    Resources used = usage.ofTeam(spec.team()).plus(spec.taskResources().times(tasks));
    return refuseIf(!Ledger.within(teams.get(spec.team()), used), AdmissionRefusal.TEAM_LIMIT);
  }

  private Optional<AdmissionRefusal> checkRecord(Job job, List<Placement> placements) {
    return refuseIf(
        fitting(job, placements).size() < placements.size(), AdmissionRefusal.RECORD_FULL);
  }

  /** Of tasks that are to start, those whose attempts the job's record has room for. */
  List<Placement> fitting(Job job, List<Placement> placements) {
    if (SegmentCapacity.isUnlimited(job, valueBytes)) {
      return placements;
    }
    SegmentCapacity capacity = new SegmentCapacity(job, valueBytes);
    return placements.stream()
        .filter(
            placement ->
                capacity.reserve(
                    placement.index(),
                    job.highest().next(),
                    placement.site().machine(),
                    placement.site().epoch()))
        .toList();
  }

  private static Optional<AdmissionRefusal> refuseIf(boolean condition, AdmissionRefusal refusal) {
    return condition ? Optional.of(refusal) : Optional.empty();
  }

  /** Checks one placement after the other, each on top of those before it. */
  private final class PlacementChecks {
    private final Job job;
    private final JobSpec spec;
    private final Predicate<TaskId> stillShown;
    private final Set<Integer> placed = new HashSet<>();
    private final Map<Integer, Integer> tasksByZone = new HashMap<>();
    private final Map<MachineId, Resources> roomByMachine = new HashMap<>();

    PlacementChecks(Job job, Predicate<TaskId> stillShown) {
      this.job = job;
      this.spec = job.spec();
      this.stillShown = stillShown;
      for (Attempt attempt : job.openAttempts()) {
        tasksByZone.merge(attempt.zone(), 1, Integer::sum);
      }
    }

    Optional<AdmissionRefusal> next(Placement placement) {
      MachineAttributes machine = placement.site();
      return checkTask(placement.index())
          .or(() -> refuseIf(!permits(machine), AdmissionRefusal.MACHINE_NOT_PERMITTED))
          .or(() -> checkZone(machine.zone()))
          .or(() -> checkRoom(machine));
    }

    private Optional<AdmissionRefusal> checkTask(int index) {
      if (index < 0 || index >= spec.tasks() || !placed.add(index)) {
        return Optional.of(AdmissionRefusal.NO_SUCH_TASK);
      }
      if (job.isDone(index)) {
        return Optional.of(AdmissionRefusal.TASK_DONE);
      }
      if (job.open(index) != null) {
        return Optional.of(AdmissionRefusal.TASK_OPEN);
      }
      return refuseIf(
          stillShown.test(new TaskId(spec.id(), index)), AdmissionRefusal.TASK_STILL_SHOWN);
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

    private Optional<AdmissionRefusal> checkRoom(MachineAttributes machine) {
      Resources room =
          roomByMachine
              .computeIfAbsent(
                  machine.machine(), id -> machine.capacity().minus(usage.ofMachine(id)))
              .minus(spec.taskResources());
      roomByMachine.put(machine.machine(), room);
      boolean full = room.cpus() < 0 || room.gpus() < 0 || room.memory() < 0;
      return refuseIf(full, AdmissionRefusal.MACHINE_FULL);
    }
  }
}
