package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * The whole controller under seeded faults, on virtual time. Invariants are checked against the
 * tasks that the simulated workers ran and the answers that users got.
 */
class SeededFaultTest {
  /** How long messages are duplicated: as long as other faults are injected. */
  private static final double DUPLICATES_S = 240;

  private SimCluster cluster;
  private SimUsers users;
  private int submittedJobs;

  @ParameterizedTest(name = "seed {0}, loss {1}, {2}")
  @CsvSource({
    "1, 0.00, NONE",
    "2, 0.02, NONE",
    "3, 0.01, CONTROLLER_CRASHES",
    "4, 0.01, CONTROLLER_CRASHES",
    "5, 0.01, CONNECTION_CUTS",
    "6, 0.01, STORE_OUTAGES",
    "7, 0.02, BASIC",
    "8, 0.02, BASIC",
    "9, 0.03, BASIC",
    "10, 0.05, BASIC",
    "11, 0.03, BASIC",
    "12, 0.02, BASIC",
    "122, 0.02, CONTROLLER_CRASHES",
    "333, 0.03, CONNECTION_CUTS",
    "375, 0.03, STORE_OUTAGES",
    "488, 0.02, BASIC",
    "680, 0.02, BASIC",
    "776, 0.02, BASIC",
    "835, 0.01, STORE_OUTAGES",
    "844, 0.04, BASIC",
    "21, 0.01, LOST_COMMANDS",
    "22, 0.02, LOST_COMMANDS",
    "23, 0.01, DUPLICATE_HEARTBEATS",
    "24, 0.02, DUPLICATE_HEARTBEATS",
    "25, 0.01, ISOLATED_CONTROLLERS",
    "26, 0.02, ISOLATED_CONTROLLERS",
    "31, 0.01, LATE_WRITES",
    "32, 0.02, LATE_WRITES",
    "33, 0.01, LOST_HEARTBEATS",
    "34, 0.02, LOST_HEARTBEATS",
    "35, 0.01, MACHINE_HANGS",
    "36, 0.02, MACHINE_HANGS",
    "37, 0.01, SLOW_STORE",
    "38, 0.02, SLOW_STORE",
    "39, 0.01, DELAYED_HEARTBEATS",
    "40, 0.02, DELAYED_HEARTBEATS",
    "41, 0.01, ZONE_CUTS",
    "42, 0.02, ZONE_CUTS",
    "43, 0.01, REFUSED_LEADERS",
    "44, 0.02, REFUSED_LEADERS",
    "45, 0.01, INVALID_REQUESTS",
    "46, 0.02, INVALID_REQUESTS",
    "47, 0.01, COMBINED",
    "48, 0.02, COMBINED",
    "49, 0.03, COMBINED",
    "50, 0.02, COMBINED"
  })
  void invariantsHold(long seed, double loss, FaultKind kind) {
    play(seed, loss, kind, 0);
  }

  /** A worker that has forgotten a task would run it again if its start arrived once more. */
  @ParameterizedTest(name = "seed {0}, share {1}, {2}")
  @CsvSource({
    "8101, 0.3, NONE",
    "8102, 0.3, CONTROLLER_CRASHES",
    "8103, 0.3, CONNECTION_CUTS",
    "8104, 0.3, STORE_OUTAGES",
    "8105, 0.3, LOST_COMMANDS",
    "8106, 0.3, DUPLICATE_HEARTBEATS",
    "8107, 0.3, ISOLATED_CONTROLLERS",
    "8108, 0.3, BASIC",
    "8109, 0.3, LATE_WRITES",
    "8110, 0.3, LOST_HEARTBEATS",
    "8111, 0.3, MACHINE_HANGS",
    "8112, 0.3, SLOW_STORE",
    "8113, 0.3, DELAYED_HEARTBEATS",
    "8114, 0.3, ZONE_CUTS",
    "8115, 0.3, REFUSED_LEADERS",
    "8116, 0.3, INVALID_REQUESTS",
    "8117, 0.3, COMBINED",
    "8118, 0.3, PARTITIONED_ZONES",
    "8119, 1, NONE",
    "8120, 1, CONTROLLER_CRASHES",
    "8121, 1, CONNECTION_CUTS",
    "8122, 1, STORE_OUTAGES",
    "8123, 1, LOST_COMMANDS",
    "8124, 1, DUPLICATE_HEARTBEATS",
    "8125, 1, ISOLATED_CONTROLLERS",
    "8126, 1, BASIC",
    "8127, 1, LATE_WRITES",
    "8128, 1, LOST_HEARTBEATS",
    "8129, 1, MACHINE_HANGS",
    "8130, 1, SLOW_STORE",
    "8131, 1, DELAYED_HEARTBEATS",
    "8132, 1, ZONE_CUTS",
    "8133, 1, REFUSED_LEADERS",
    "8134, 1, INVALID_REQUESTS",
    "8135, 1, COMBINED",
    "8136, 1, PARTITIONED_ZONES"
  })
  void duplicateCommandsBreakNoInvariant(long seed, double share, FaultKind kind) {
    play(seed, 0.01, kind, share);
    assertTrue(cluster.machineFaults.duplicateCommands() > 0, "no message was duplicated");
  }

  /**
   * Plays a run and asserts that no invariant was violated and that all jobs have ended.
   *
   * @param duplicateShare share of the direct messages that reach their worker twice
   */
  private void play(long seed, double loss, FaultKind kind, double duplicateShare) {
    cluster = new SimCluster(seed, loss);
    cluster.machineFaults.duplicateCommands(duplicateShare, DUPLICATES_S);
    users = new SimUsers(cluster);
    SeededFaults faults = new SeededFaults(cluster, users, kind);
    boolean invalidRequests = kind.includes(FaultKind.INVALID_REQUESTS);
    if (invalidRequests) {
      users.cancelAtCompletion(0.3);
    }
    cluster.clock.runFor(5);
    for (int step = 0; step < 120; step++) {
      submitCancelAndPoll(step, invalidRequests);
      if (step < 80) {
        faults.step(step);
      }
      if (step == 90) {
        // Services would use their team's limit for ever; all other jobs have to finish.
        users.cancelServices();
      }
      if (step == 100) {
        // The longest fault lasts for less than a minute.
        users.expectTimelyAnswers();
      }
      cluster.clock.runFor(3);
    }
    for (int i = 0; i < 39; i++) {
      users.pollAll();
      cluster.clock.runFor(6);
    }
    assertEquals(List.of(), cluster.violations());
    assertTrue(cluster.tasks.starts() > 20, "only " + cluster.tasks.starts() + " starts");
    for (JobId id : users.accepted()) {
      if (!users.spec(id).isService()) {
        String state = users.lastState(id);
        assertTrue("done".equals(state) || "cancelled".equals(state), id + " is " + state);
      }
    }
  }

  /** Sends the submissions, cancellations and polls of one step. */
  private void submitCancelAndPoll(int step, boolean invalidRequests) {
    if (step < 70 && cluster.nextInt(3) == 0) {
      submit();
    }
    if (!users.accepted().isEmpty() && cluster.nextInt(12) == 0) {
      users.cancel(users.accepted().get(cluster.nextInt(users.accepted().size())));
    }
    users.pollAll();
    if (invalidRequests && step < 100) {
      users.sendInvalidRequest();
    }
  }

  private void submit() {
    String id = String.format("wk-%06d", ++submittedJobs);
    String kind = List.of("batch", "batch", "group", "daemon").get(cluster.nextInt(4));
    int tasks = kind.equals("group") ? 2 : kind.equals("daemon") ? 2 : 1 + cluster.nextInt(20);
    SubmissionBuilder body = SubmissionBuilder.job(id, kind, tasks);
    body.team(cluster.nextInt(2) == 0 ? "red" : "blue");
    body.priority(kind.equals("daemon") ? "production" : "normal");
    body.scatter(kind.equals("daemon")).together(kind.equals("group"));
    body.spotAllowed(kind.equals("batch")).cpus(2.0);
    body.runsFor(3.0 + cluster.nextInt(12));
    users.submit(body);
  }
}
