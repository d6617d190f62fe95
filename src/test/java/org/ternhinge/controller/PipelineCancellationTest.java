package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * A cancellation also cancels every dependent of the job, in time and at every node, whatever fails
 * right after the answer; one that arrives after the job's end cancels nothing.
 */
class PipelineCancellationTest {
  private ClusterFixture cluster;

  /**
   * Every dependent of the cancelled job is reported as cancelled by every node in time, whatever
   * fault follows the answer; all other jobs are done.
   */
  @ParameterizedTest(name = "{0}, job {1}, asked {2}, then {3}")
  @CsvSource({
    "chain, 1, leader, nothing",
    "chain, 1, follower, nothing",
    "chain, 2, leader, nothing",
    "chain, 2, follower, nothing",
    "chain, 3, leader, nothing",
    "chain, 4, follower, nothing",
    "diamond, 1, leader, nothing",
    "diamond, 2, follower, nothing",
    "diamond, 3, leader, nothing",
    "diamond, 4, leader, nothing",
    "chain, 1, leader, crash",
    "chain, 1, follower, crash",
    "chain, 2, leader, crash",
    "chain, 3, follower, crash",
    "diamond, 1, leader, crash",
    "diamond, 2, follower, crash",
    "diamond, 4, leader, crash",
    "chain, 1, leader, outage",
    "chain, 1, follower, outage",
    "chain, 2, leader, outage",
    "chain, 3, follower, outage",
    "diamond, 1, leader, outage",
    "diamond, 3, follower, outage",
    "chain, 1, leader, refused",
    "chain, 2, follower, refused",
    "diamond, 1, leader, refused",
    "diamond, 1, leader, crash and outage",
    "chain, 1, follower, crash and outage",
    "chain, 2, leader, crash and outage",
    "chain, 1, leader, all crash",
    "diamond, 2, follower, all crash",
    "chain, 1, leader, late",
    "chain, 2, follower, late",
    "diamond, 1, leader, late"
  })
  void dependentsAreCancelledInTime(String shape, int position, String target, String fault) {
    for (long seed = 301; seed < 304; seed++) {
      cluster = new ClusterFixture(seed);
      List<JobId> all = cluster.submitPipeline(shape, 60);
      cluster.run(20);
      assertEquals(4, cluster.users.accepted().size());
      if (fault.equals("late")) {
        cluster.simulation.storeFaults.delayWrites(0.5, 30);
      }
      JobId cancelled = all.get(position - 1);
      int leader = cluster.simulation.leader();
      double[] confirmedAt = {-1};
      cluster.users.cancelAt(
          target.equals("leader") ? leader : (leader + 1) % 3,
          cancelled,
          () -> {
            confirmedAt[0] = cluster.simulation.clock.seconds();
            cluster.injectFault(fault);
          });
      cluster.runPollingEverywhere(30, all);
      assertTrue(confirmedAt[0] >= 0, "the cancellation was not answered");
      cluster.runPollingEverywhere(
          confirmedAt[0] + ClusterFixture.CANCEL_TIMEOUT_S + 1 - cluster.simulation.clock.seconds(),
          all);
      for (JobId id : all) {
        boolean expectCancelled =
            id.equals(cancelled) || cluster.simulation.jobs.dependencies(id).contains(cancelled);
        for (int node = 0; node < 3 && expectCancelled; node++) {
          String state = cluster.stateAt(node, id);
          assertTrue(
              Set.of("cancelled", "503", "nothing").contains(state), node + " answers " + state);
        }
      }
      cluster.runPollingEverywhere(60, all);
      cluster.users.expectTimelyAnswers();
      cluster.run(120);
      cluster.assertNoViolations();
      cluster.assertExpectedEndStates();
      for (JobId id : all) {
        boolean expectCancelled =
            id.equals(cancelled) || cluster.simulation.jobs.dependencies(id).contains(cancelled);
        assertEquals(
            expectCancelled ? "cancelled" : "done",
            cluster.users.lastState(id),
            id + " with " + cancelled);
      }
    }
  }

  /**
   * The write of a cancellation is applied but not answered, and the zones can't reach each other,
   * so that another node reads the cancellation before the leader does. No later answer may report
   * an older state.
   */
  @ParameterizedTest(name = "{0}, cancelled job {1}")
  @CsvSource({"chain, 1", "chain, 2", "diamond, 1", "diamond, 3"})
  void lostCancellationAnswerNeverRevertsState(String shape, int cancelled) {
    for (long seed = 401; seed < 421; seed++) {
      cluster = new ClusterFixture(seed);
      List<JobId> all = cluster.submitPipeline(shape, 200);
      cluster.run(15);
      cluster.simulation.networkFaults.partitionZones(20);
      cluster.simulation.storeFaults.delayWrites(0.7, 12);
      cluster.users.cancelAt(cluster.simulation.leader(), all.get(cancelled - 1), () -> {});
      for (int i = 0; i < 400; i++) {
        all.forEach(cluster.users::pollAllControllers);
        cluster.simulation.clock.runFor(0.05);
      }
      cluster.run(ClusterFixture.CANCEL_TIMEOUT_S);
      cluster.assertNoViolations();
      cluster.assertDependentsCancelled(all.get(cancelled - 1));
    }
  }

  /**
   * The dependents of a job end as the answer to its cancellation says: "done" cancels none of
   * them.
   */
  @ParameterizedTest(name = "{0}, cancelled {1} s after the end of the first")
  @CsvSource({
    "chain, 0",
    "chain, 0.02",
    "chain, 0.1",
    "chain, 0.4",
    "chain, 0.7",
    "chain, 1.2",
    "chain, 3",
    "diamond, 0",
    "diamond, 0.1",
    "diamond, 0.6",
    "diamond, 2"
  })
  void cancellationAnsweredDoneCancelsNoDependent(String shape, double after) {
    for (long seed = 311; seed < 316; seed++) {
      cluster = new ClusterFixture(seed);
      List<JobId> all = cluster.submitPipeline(shape, 8);
      JobId first = all.get(0);
      cluster.simulation.clock.runFor(2);
      while (!cluster.simulation.jobs.allCompleted(first)) {
        cluster.simulation.clock.runFor(0.01);
      }
      cluster.simulation.clock.runFor(after);
      String[] answered = {null};
      cluster.users.cancelAt(
          cluster.simulation.nextInt(3), first, () -> answered[0] = cluster.users.lastState(first));
      cluster.runPollingEverywhere(20, all);
      cluster.run(60);
      cluster.users.expectTimelyAnswers();
      cluster.run(60);
      cluster.assertNoViolations();
      assertNotNull(answered[0], "the cancellation was not answered");
      for (JobId id : all) {
        assertEquals(
            answered[0],
            cluster.users.lastState(id),
            id + " after a cancellation answered " + answered[0]);
      }
    }
  }

  /** A job that depends on a cancelled one is accepted, with the state "cancelled". */
  @ParameterizedTest(name = "submitted {0} s after the cancellation, first runs: {1}, crash: {2}")
  @CsvSource({
    "0.01, false, false",
    "0.01, true, false",
    "2, true, false",
    "60, true, false",
    "60, false, true",
    "2, true, true"
  })
  void dependentOfCancelledJobIsAcceptedAndCancelled(
      double after, boolean firstRuns, boolean crash) {
    cluster = new ClusterFixture(321);
    JobId first = cluster.submit("wk-1", 2, 300);
    cluster.run(firstRuns ? 30 : 0.5);
    boolean[] confirmed = {false};
    cluster.users.cancelAt(cluster.simulation.leader(), first, () -> confirmed[0] = true);
    while (!confirmed[0]) {
      cluster.simulation.clock.runFor(0.01);
    }
    cluster.simulation.clock.runFor(after);
    if (crash) {
      for (int i = 0; i < 3; i++) {
        cluster.simulation.controllers.crash(i, 1);
      }
    }
    JobId second = cluster.submit("wk-2", 2, 5, first);
    JobId third = cluster.submit("wk-3", 2, 5, second);
    List<JobId> all = List.of(first, second, third);
    cluster.runPollingEverywhere(20, all);
    assertEquals(all, cluster.users.accepted(), "accepted jobs");
    for (JobId id : all) {
      for (int node = 0; node < 3; node++) {
        assertEquals("cancelled", cluster.stateAt(node, id), "node " + node + " of " + id);
      }
    }
    cluster.users.expectTimelyAnswers();
    cluster.run(60);
    cluster.assertNoViolations();
    assertEquals(0, cluster.simulation.tasks.runningTasks(second));
  }

  /**
   * Repeated submissions and cancellations of dependents of a cancelled job are answered
   * "cancelled".
   */
  @Test
  void repeatedRequestsReturnInheritedCancellation() {
    cluster = new ClusterFixture(322);
    List<JobId> all = cluster.submitPipeline("chain", 300);
    cluster.run(20);
    cluster.users.cancelAt(cluster.simulation.leader(), all.get(0), () -> {});
    cluster.simulation.clock.runFor(2);
    for (int node = 0; node < 3; node++) {
      for (int i = 1; i < 4; i++) {
        JobId id = all.get(i);
        byte[] body = ClusterFixture.job(id.value(), 2, 5, List.of(all.get(i - 1))).bytes();
        ClusterFixture.assertAnswer(
            200,
            "cancelled",
            cluster.simulation.controllers.answerTo(node, "POST", "/submissions", body));
        String path = "/submissions/" + id + "/cancel";
        ClusterFixture.assertAnswer(
            200,
            "cancelled",
            cluster.simulation.controllers.answerTo(node, "POST", path, new byte[0]));
      }
    }
    cluster.assertNoViolations();
  }

  /**
   * Thousands of jobs depend on one; its cancellation is answered within 2 s and cancels all of
   * them.
   */
  @ParameterizedTest(name = "asked {0}, then {1}")
  @CsvSource({
    "leader, nothing",
    "follower, nothing",
    "leader, crash",
    "follower, outage",
    "leader, crash and outage",
    "leader, lower"
  })
  void cancellationReachesThousandsOfDependents(String target, String fault) {
    cluster = new ClusterFixture(351, 0, new SimCluster.Size(3, 4, 60, 30));
    JobId first = cluster.submit("wk-1", 2, 3000);
    cluster.run(20);
    List<JobId> all = submitThousandsOfDependents(first);
    int leader = cluster.simulation.leader();
    double askedAt = cluster.simulation.clock.seconds();
    double[] confirmedAt = {-1};
    if (fault.equals("lower")) {
      cluster.simulation.storeFaults.lowerLimits();
    }
    cluster.users.cancelAt(
        target.equals("leader") ? leader : (leader + 1) % 3,
        first,
        () -> {
          confirmedAt[0] = cluster.simulation.clock.seconds();
          cluster.injectFault(fault);
        });
    cluster.simulation.clock.runFor(10);
    assertTrue(
        confirmedAt[0] >= 0 && confirmedAt[0] - askedAt < 2, "answered at " + confirmedAt[0]);
    cluster.simulation.clock.runFor(
        confirmedAt[0] + ClusterFixture.CANCEL_TIMEOUT_S + 1 - cluster.simulation.clock.seconds());
    if (!fault.endsWith("outage")) {
      assertNoNodeAnswersQueued(all);
    }
    cluster.users.expectTimelyAnswers();
    for (int i = 0; i < 8; i++) {
      cluster.users.pollAll();
      cluster.simulation.clock.runFor(30);
    }
    cluster.assertNoViolations();
    Set<String> states = new LinkedHashSet<>();
    all.forEach(id -> states.add(cluster.users.lastState(id)));
    assertEquals(Set.of("cancelled"), states);
    assertEquals(0, cluster.simulation.tasks.runningTasks(first));
  }

  /**
   * Submits two thousand dependents of a job and asserts that they cause no store changes while
   * they wait.
   */
  private List<JobId> submitThousandsOfDependents(JobId first) {
    List<JobId> all = new ArrayList<>();
    for (int i = 0; i < 2000; i++) {
      SubmissionBuilder body =
          ClusterFixture.job("wk-1" + String.format("%04d", i), 1, 5, List.of(first));
      cluster.users.submit(body);
      all.add(body.id());
      if (i % 10 == 9) {
        cluster.simulation.clock.runFor(0.8);
      }
    }
    cluster.simulation.clock.runFor(70);
    assertEquals(2001, cluster.users.accepted().size());
    long changes = cluster.simulation.counts.storeChanges();
    cluster.simulation.clock.runFor(20);
    assertTrue(
        cluster.simulation.counts.storeChanges() - changes < 20,
        "waiting jobs cause store changes");
    return all;
  }

  private void assertNoNodeAnswersQueued(List<JobId> jobs) {
    for (int i = 0; i < jobs.size(); i += 97) {
      for (int node = 0; node < 3; node++) {
        String state = cluster.stateAt(node, jobs.get(i));
        assertTrue(state.equals("cancelled") || state.equals("503"), node + " answers " + state);
      }
    }
  }
}
