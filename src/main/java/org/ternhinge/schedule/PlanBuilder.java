package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.ternhinge.config.Team;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.schedule.Snapshot.MachineView;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;

/** A plan in the making: what is decided so far, and the room and limits that it leaves. */
final class PlanBuilder {
  /** Seconds' worth of score for taking a place that a task with accelerators would need. */
  static final double ACCELERATOR_S = 120;

  /** The same for a place that such a task could have, but only by stopping this one. */
  private static final double IN_THE_WAY_S = 15;

  /** Stands for a zone where the tasks of a job may lie in several. */
  static final int ANY_ZONE = -1;

  /** Score, in seconds, of using an ordinary machine for what spot machines could run. */
  private static final double ORDINARY_S = 3;

  final Snapshot snapshot;
  final Plan plan = new Plan();
  final List<MachineCapacity> machines = new ArrayList<>();
  final AcceleratorPlaces accelerated;
  private final Map<String, Resources> teamUse;
  private final Map<JobId, int[]> zoneOpen = new HashMap<>();
  private Map<String, Resources> arrayUse;
  private long evaluations;

  PlanBuilder(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.teamUse = new HashMap<>(snapshot.teamUse());
    this.accelerated = new AcceleratorPlaces(snapshot);
    for (MachineView machine : snapshot.machines()) {
      machines.add(new MachineCapacity(machine));
    }
  }

  /** Counts the evaluation of a candidate machine, the unit that a round's work is bounded in. */
  void countEvaluation() {
    evaluations++;
  }

  long evaluations() {
    return evaluations;
  }

  /** Tasks by zone of a job, as the plan stands. */
  int[] zones(JobView job) {
    return zoneOpen.computeIfAbsent(job.spec().id(), k -> job.zoneOpen().toIntArray());
  }

  Resources use(String team) {
    return teamUse.getOrDefault(team, Resources.ZERO);
  }

  void charge(JobSpec spec, int tasks) {
    if (tasks > 0) {
      teamUse.merge(spec.team(), spec.need().times(tasks), Resources::plus);
    }
  }

  /** How many more tasks of this size the team's limit permits. */
  int limitLeft(JobSpec spec) {
    return limitLeft(spec, Resources.ZERO);
  }

  /** The same, once the team's arrays have ended, which they do before long. */
  int limitLeftWithoutArrays(JobSpec spec) {
    if (arrayUse == null) {
      arrayUse = new HashMap<>();
      for (MachineView machine : snapshot.machines()) {
        for (AttemptView attempt : machine.attempts()) {
          if (attempt.spec().kind() == JobKind.ARRAY) {
            arrayUse.merge(attempt.spec().team(), attempt.spec().need(), Resources::plus);
          }
        }
      }
    }
    return limitLeft(spec, arrayUse.getOrDefault(spec.team(), Resources.ZERO));
  }

  private int limitLeft(JobSpec spec, Resources without) {
    Team team = snapshot.teams().get(spec.team());
    Resources use = use(spec.team()).minus(without);
    long tasks = Integer.MAX_VALUE;
    if (team.cpusMax() > 0) {
      tasks = Math.min(tasks, Math.floorDiv(team.cpusMax() - use.cpus(), spec.need().cpus()));
    }
    if (team.gpusMax() > 0 && spec.need().gpus() > 0) {
      tasks = Math.min(tasks, Math.floorDiv(team.gpusMax() - use.gpus(), spec.need().gpus()));
    }
    return (int) Math.max(0, tasks);
  }

  /** The zones to try one by one for all of a job's tasks together, or {@link #ANY_ZONE} alone. */
  static int[] zonesToTry(JobView job) {
    if (!job.spec().together()) {
      return new int[] {ANY_ZONE};
    }
    return IntStream.range(0, job.zoneOpen().size()).toArray();
  }

  /** Whether another task of a job may go to a zone, given its tasks by zone. */
  static boolean zoneFits(JobSpec spec, int[] zones, int zone) {
    if (zones[zone] >= spec.zoneLimit()) {
      return false;
    }
    if (spec.together()) {
      for (int z = 0; z < zones.length; z++) {
        if (z != zone && zones[z] > 0) {
          return false;
        }
      }
    }
    return true;
  }

  boolean within(PlacementScope scope, JobSpec spec, MachineCapacity machine) {
    return (!scope.cached() || machine.hasImage(spec.image()))
        && (scope.mayBlock() || accelerated.lost(spec, machine) <= 0);
  }

  static boolean avoided(JobView job, MachineCapacity machine) {
    return !job.avoid().isEmpty() && job.avoid().contains(machine.view.id());
  }

  double fetchSeconds(JobSpec spec, MachineCapacity machine) {
    return machine.hasImage(spec.image()) ? 0 : machine.machineType.fetchSeconds(spec.imageGb());
  }

  /** Seconds of waiting and waste, as far as they can be told; the least is the best. */
  double score(JobSpec spec, MachineCapacity machine) {
    double score = fetchSeconds(spec, machine);
    int lost = accelerated.lost(spec, machine);
    if (lost > 0) {
      score += ACCELERATOR_S * lost;
    } else if (machine.machineType.capacity().gpus() > 0) {
      score += IN_THE_WAY_S * accelerated.inTheWay(spec, machine);
    }
    if (spec.spotAllowed() && !machine.spot) {
      score += ORDINARY_S;
    }
    if (spec.isService()) {
      score += machine.siblingSeconds(spec);
    }
    long cap = Math.max(1, machine.machineType.capacity().cpus());
    return score + 2.0 * (machine.freeCpus() - spec.need().cpus()) / cap;
  }
}
