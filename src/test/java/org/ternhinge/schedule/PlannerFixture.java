package org.ternhinge.schedule;

import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.config.Team;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.schedule.Snapshot.MachineView;
import org.ternhinge.schedule.Snapshot.Offer;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.MachineType;

/** Base class of planner tests: builds a snapshot of machines and jobs and plans a round on it. */
abstract class PlannerFixture {
  static final List<String> ZONES = List.of("east", "west");
  static final MachineType PLAIN =
      new MachineType(
          "plain", Resources.ofCapacity(4, 0, 16), 4, 0, 16, 50, 0.5, 0.2, 0.05, 20, ZONES);
  static final MachineType ACCELERATED =
      new MachineType(
          "fast", Resources.ofCapacity(16, 2, 64), 16, 2, 64, 50, 0.5, 5, 1.5, 40, ZONES);

  static final MonotonicTime NOW = new MonotonicTime(1_000_000_000_000L);

  /** Seconds without a started task after which a job is overdue. */
  private static final double OVERDUE_S = 120;

  final List<MachineView> machines = new ArrayList<>();
  final List<JobView> jobs = new ArrayList<>();
  final List<JobView> expectedJobs = new ArrayList<>();
  final List<Offer> offers = new ArrayList<>();
  final List<Snapshot.PendingProvision> pendingProvisions = new ArrayList<>();
  final Set<JobId> lateStartedJobs = new HashSet<>();
  final Map<String, Resources> teamUse = new HashMap<>();

  MachineView machine(
      String name, MachineType machineType, int zone, Set<String> images, AttemptView... attempts) {
    Resources free = machineType.capacity();
    for (AttemptView attempt : attempts) {
      free = free.minus(attempt.spec().taskResources());
      teamUse.merge(attempt.spec().team(), attempt.spec().taskResources(), Resources::plus);
    }
    MachineView machine =
        new MachineView(
            new MachineId(name),
            machineType,
            zone,
            ZONES.get(zone),
            false,
            free,
            true,
            images,
            NOW.plusSeconds(attempts.length == 0 ? -100 : 0),
            NOW.plusSeconds(-200),
            List.of(attempts),
            List.of());
    machines.add(machine);
    return machine;
  }

  static JobSpec spec(String id, String kind, int tasks, Map<String, Object> changes) {
    ObjectNode json = SubmissionJson.smallJob(id, kind, tasks);
    changes.forEach(
        (k, v) -> {
          if (v instanceof String s) {
            json.put(k, s);
          } else if (v instanceof Boolean b) {
            json.put(k, b);
          } else {
            json.put(k, ((Number) v).doubleValue());
          }
        });
    return SubmissionJson.parse(json);
  }

  void job(JobSpec spec, boolean withinGuarantee) {
    job(spec, withinGuarantee, 0);
  }

  void job(JobSpec spec, boolean withinGuarantee, double waitedS) {
    IntArrayList pending = new IntArrayList();
    for (int i = 0; i < spec.tasks(); i++) {
      pending.add(i);
    }
    jobs.add(
        new JobView(
            spec,
            jobs.size(),
            waitedS,
            withinGuarantee,
            waitedS > OVERDUE_S,
            pending,
            pending.size(),
            IntArrayList.wrap(new int[2]),
            false,
            Set.of(),
            0));
  }

  Plan plan() {
    Map<String, Team> teams =
        Map.of(
            "red", new Team("red", 8000, 100_000, 0, 0),
            "blue", new Team("blue", 8000, 40_000, 0, 0),
            "green", new Team("green", 0, 0, 0, 0));
    return Planner.plan(
        new Snapshot(
            machines,
            jobs,
            expectedJobs,
            teams,
            teamUse,
            offers,
            pendingProvisions,
            lateStartedJobs,
            true,
            40,
            NOW));
  }

  /** The names of the machines of all placed tasks. */
  static List<String> placedMachines(Plan plan) {
    List<String> machines = new ArrayList<>();
    plan.placements()
        .forEach(placement -> placement.machines().forEach(id -> machines.add(id.value())));
    return machines;
  }

  static AttemptView running(JobSpec spec, int index, double seconds) {
    return new AttemptView(spec, index, false, NOW.plusSeconds(-seconds));
  }

  static JobSpec acceleratedGang(String id, int tasks) {
    Map<String, Object> request =
        Map.of("cpus", 14.0, "accelerators", 2.0, "forgang", "high", "together", true);
    return spec(id, "group", tasks, request);
  }
}
