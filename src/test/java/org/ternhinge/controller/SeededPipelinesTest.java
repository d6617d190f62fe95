package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * Pipelines under seeded faults on virtual time: no invariant is violated, and every job ends as
 * requested by its user and by the users of its dependencies.
 */
class SeededPipelinesTest {
  private ClusterFixture cluster;

  /** Number of jobs submitted so far, from which the next job's name is derived. */
  private int submittedJobs;

  /** For even seeds, the store's limits are lowered during the run. */
  @ParameterizedTest(name = "seed {0}, loss {1}, {2}")
  @CsvSource({
    "1001, 0.00, NONE",
    "1002, 0.02, NONE",
    "1003, 0.01, CONTROLLER_CRASHES",
    "1004, 0.02, CONTROLLER_CRASHES",
    "1005, 0.01, CONNECTION_CUTS",
    "1006, 0.02, CONNECTION_CUTS",
    "1007, 0.01, STORE_OUTAGES",
    "1008, 0.02, STORE_OUTAGES",
    "1009, 0.01, LOST_COMMANDS",
    "1010, 0.02, LOST_COMMANDS",
    "1011, 0.01, DUPLICATE_HEARTBEATS",
    "1012, 0.02, DUPLICATE_HEARTBEATS",
    "1013, 0.01, ISOLATED_CONTROLLERS",
    "1014, 0.02, ISOLATED_CONTROLLERS",
    "1015, 0.01, LATE_WRITES",
    "1016, 0.02, LATE_WRITES",
    "1017, 0.01, LOST_HEARTBEATS",
    "1018, 0.02, LOST_HEARTBEATS",
    "1019, 0.01, MACHINE_HANGS",
    "1020, 0.02, MACHINE_HANGS",
    "1021, 0.01, SLOW_STORE",
    "1022, 0.02, SLOW_STORE",
    "1023, 0.01, DELAYED_HEARTBEATS",
    "1024, 0.02, DELAYED_HEARTBEATS",
    "1025, 0.01, ZONE_CUTS",
    "1026, 0.02, ZONE_CUTS",
    "1027, 0.01, REFUSED_LEADERS",
    "1028, 0.02, REFUSED_LEADERS",
    "1029, 0.01, INVALID_REQUESTS",
    "1030, 0.02, INVALID_REQUESTS",
    "1031, 0.01, BASIC",
    "1032, 0.02, BASIC",
    "1033, 0.03, BASIC",
    "1034, 0.03, BASIC",
    "1035, 0.01, COMBINED",
    "1036, 0.02, COMBINED",
    "1037, 0.03, COMBINED",
    "1038, 0.03, COMBINED",
    "1039, 0.02, COMBINED",
    "1040, 0.02, COMBINED",
    "1041, 0.01, PARTITIONED_ZONES",
    "1042, 0.02, PARTITIONED_ZONES",
    "1043, 0.02, PARTITIONED_ZONES"
  })
  void invariantsHold(long seed, double loss, FaultKind kind) {
    cluster = new ClusterFixture(seed, loss, new SimCluster.Size(3, 3, 36, 30));
    SeededFaults faults = new SeededFaults(cluster.simulation, cluster.users, kind);
    boolean invalidRequests = kind.includes(FaultKind.INVALID_REQUESTS);
    if (invalidRequests) {
      cluster.users.cancelAtCompletion(0.2);
    }
    for (int step = 0; step < 150; step++) {
      submitAndCancel(step);
      pollAndSendInvalid(step, invalidRequests);
      if (seed % 2 == 0 && step == 20 + seed % 40) {
        cluster.simulation.storeFaults.lowerLimits();
      }
      if (step < 80) {
        faults.step(step);
      }
      if (step == 90) {
        cluster.users.cancelServices();
      }
      if (step == 110) {
        cluster.users.expectTimelyAnswers();
      }
      cluster.simulation.clock.runFor(3);
    }
    for (int i = 0; i < 60; i++) {
      cluster.users.pollAll();
      cluster.simulation.clock.runFor(6);
    }
    cluster.assertNoViolations();
    assertTrue(
        cluster.simulation.tasks.starts() > 20,
        "only " + cluster.simulation.tasks.starts() + " starts");
    cluster.assertExpectedEndStates();
  }

  private void submitAndCancel(int step) {
    if (step < 80 && cluster.simulation.nextInt(6) == 0) {
      submitPipeline();
    }
    if (step < 60 && cluster.simulation.nextInt(25) == 0) {
      submitService();
    }
    List<JobId> accepted = cluster.users.accepted();
    if (!accepted.isEmpty() && cluster.simulation.nextInt(16) == 0) {
      cluster.users.cancel(accepted.get(cluster.simulation.nextInt(accepted.size())));
    }
  }

  private void pollAndSendInvalid(int step, boolean invalidRequests) {
    cluster.users.pollAll();
    if (step < 120 && cluster.simulation.nextInt(2) == 0) {
      cluster.users.sendInvalidDependencies();
    }
    if (invalidRequests && step < 110) {
      cluster.users.sendInvalidRequest();
    }
  }

  private String nextId() {
    return String.format("wk-%06d", ++submittedJobs);
  }

  private SubmissionBuilder randomJob(List<JobId> after) {
    boolean gang = cluster.simulation.nextInt(3) == 0;
    SubmissionBuilder body =
        ClusterFixture.job(
            nextId(),
            gang ? 2 : 1 + cluster.simulation.nextInt(12),
            3 + cluster.simulation.nextInt(8),
            after);
    body.kind(gang ? "group" : "batch").together(gang).spotAllowed(!gang);
    body.team(cluster.simulation.nextInt(2) == 0 ? "red" : "blue");
    return body;
  }

  /**
   * Submits a chain, a fan-out or a diamond, whose last job is urgent and sometimes submitted late.
   */
  private void submitPipeline() {
    List<SubmissionBuilder> all = new ArrayList<>();
    SubmissionBuilder first = randomJob(List.of());
    all.add(first);
    int shape = cluster.simulation.nextInt(3);
    int length = 2 + cluster.simulation.nextInt(3);
    List<JobId> ends = new ArrayList<>();
    JobId predecessor = first.id();
    for (int i = 0; i < length; i++) {
      SubmissionBuilder body = randomJob(List.of(predecessor));
      all.add(body);
      ends.add(body.id());
      if (shape == 0) {
        predecessor = body.id();
        ends.retainAll(List.of(predecessor));
      }
    }
    if (shape != 1) {
      all.add(randomJob(ends));
    }
    SubmissionBuilder last = all.remove(all.size() - 1);
    last.priority("high").deadlineS(120.0);
    all.forEach(cluster.users::submitAfterDependencies);
    if (cluster.simulation.nextInt(4) == 0) {
      cluster.users.submitAfterEnds(last, cluster.simulation.nextInt(60));
    } else {
      cluster.users.submitAfterDependencies(last);
    }
  }

  private void submitService() {
    SubmissionBuilder body = ClusterFixture.job(nextId(), 2, 0, List.of()).kind("daemon");
    cluster.users.submit(body.priority("production").spotAllowed(false));
  }
}
