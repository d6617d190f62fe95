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
 * A cancellation cancels every job that depends on the cancelled one, in time and at every node,
 * whatever fails right after the answer; one that comes after the end of the job cancels none.
 */
class PipelineCancellationTest {
  private DependentJobs cluster;

  /**
   * Every job after the cancelled one is cancelled in time at every node, whatever happens right
   * after the answer; the others are done.
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
  void laterJobsAreCancelledInTime(String shape, int cancelled, String asked, String then) {
    for (long seed = 301; seed < 304; seed++) {
      cluster = new DependentJobs(seed);
      List<JobId> all = cluster.submitShape(shape, 60);
      cluster.run(20);
      assertEquals(4, cluster.users.accepted().size());
      if (then.equals("late")) {
        cluster.world.storeFaults.delayWrites(0.5, 30);
      }
      JobId cancelledJob = all.get(cancelled - 1);
      int leader = cluster.world.leader();
      double[] confirmedAt = {-1};
      cluster.users.cancelAt(
          asked.equals("leader") ? leader : (leader + 1) % 3,
          cancelledJob,
          () -> {
            confirmedAt[0] = cluster.world.clock.seconds();
            cluster.beginFault(then);
          });
      cluster.runPollingEverywhere(30, all);
      assertTrue(confirmedAt[0] >= 0, "the cancel is answered");
      cluster.runPollingEverywhere(
          confirmedAt[0] + DependentJobs.CANCEL_S + 1 - cluster.world.clock.seconds(), all);
      for (JobId id : all) {
        boolean later =
            id.equals(cancelledJob) || cluster.world.jobs.dependencies(id).contains(cancelledJob);
        for (int node = 0; node < 3 && later; node++) {
          String says = cluster.stateAt(node, id);
          assertTrue(Set.of("cancelled", "503", "nothing").contains(says), node + " says " + says);
        }
      }
      cluster.runPollingEverywhere(60, all);
      cluster.users.expectTimelyAnswers();
      cluster.run(120);
      cluster.assertNoRuleBroken();
      cluster.assertEndedWell();
      for (JobId id : all) {
        boolean later =
            id.equals(cancelledJob) || cluster.world.jobs.dependencies(id).contains(cancelledJob);
        assertEquals(
            later ? "cancelled" : "done",
            cluster.users.lastState(id),
            id + " with " + cancelledJob);
      }
    }
  }

  /**
   * The write of a cancellation is applied but not answered, and the nodes can't reach each other:
   * one reads the cancellation before the leader does. No later answer may give an older state.
   */
  @ParameterizedTest(name = "{0}, cancelled job {1}")
  @CsvSource({"chain, 1", "chain, 2", "diamond, 1", "diamond, 3"})
  void aCancelWhoseAnswerIsLost(String shape, int cancelled) {
    for (long seed = 401; seed < 421; seed++) {
      cluster = new DependentJobs(seed);
      List<JobId> all = cluster.submitShape(shape, 200);
      cluster.run(15);
      cluster.world.networkFaults.partitionZones(20);
      cluster.world.storeFaults.delayWrites(0.7, 12);
      cluster.users.cancelAt(cluster.world.leader(), all.get(cancelled - 1), () -> {});
      for (int i = 0; i < 400; i++) {
        all.forEach(cluster.users::pollAllControllers);
        cluster.world.clock.runFor(0.05);
      }
      cluster.run(DependentJobs.CANCEL_S);
      cluster.assertNoRuleBroken();
      cluster.assertEndedWell(all.get(cancelled - 1));
    }
  }

  /** A cancellation that is answered with "done" changes no dependent job. */
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
  void aCancelThatMeetsTheEnd(String shape, double after) {
    for (long seed = 311; seed < 316; seed++) {
      cluster = new DependentJobs(seed);
      List<JobId> all = cluster.submitShape(shape, 8);
      JobId first = all.get(0);
      cluster.world.clock.runFor(2);
      while (!cluster.world.jobs.allCompleted(first)) {
        cluster.world.clock.runFor(0.01);
      }
      cluster.world.clock.runFor(after);
      String[] answered = {null};
      cluster.users.cancelAt(
          cluster.world.nextInt(3), first, () -> answered[0] = cluster.users.lastState(first));
      cluster.runPollingEverywhere(20, all);
      cluster.run(60);
      cluster.users.expectTimelyAnswers();
      cluster.run(60);
      cluster.assertNoRuleBroken();
      assertNotNull(answered[0], "the cancel is answered");
      for (JobId id : all) {
        assertEquals(
            answered[0],
            cluster.users.lastState(id),
            id + " after a cancel answered " + answered[0]);
      }
    }
  }

  /** A job that depends on a cancelled one is accepted all the same, and cancelled. */
  @ParameterizedTest(name = "named {0} s after the cancel, first runs: {1}, crash: {2}")
  @CsvSource({
    "0.01, false, false",
    "0.01, true, false",
    "2, true, false",
    "60, true, false",
    "60, false, true",
    "2, true, true"
  })
  void aCancelledJobIsNamed(double after, boolean runs, boolean crash) {
    cluster = new DependentJobs(321);
    JobId first = cluster.submit("wk-1", 2, 300);
    cluster.run(runs ? 30 : 0.5);
    boolean[] confirmed = {false};
    cluster.users.cancelAt(cluster.world.leader(), first, () -> confirmed[0] = true);
    while (!confirmed[0]) {
      cluster.world.clock.runFor(0.01);
    }
    cluster.world.clock.runFor(after);
    if (crash) {
      for (int i = 0; i < 3; i++) {
        cluster.world.controllers.crash(i, 1);
      }
    }
    JobId second = cluster.submit("wk-2", 2, 5, first);
    JobId third = cluster.submit("wk-3", 2, 5, second);
    List<JobId> all = List.of(first, second, third);
    cluster.runPollingEverywhere(20, all);
    assertEquals(all, cluster.users.accepted(), "all are accepted");
    for (JobId id : all) {
      for (int node = 0; node < 3; node++) {
        assertEquals("cancelled", cluster.stateAt(node, id), "node " + node + " of " + id);
      }
    }
    cluster.users.expectTimelyAnswers();
    cluster.run(60);
    cluster.assertNoRuleBroken();
    assertEquals(0, cluster.world.tasks.runningTasks(second));
  }

  /** Repeated submissions and cancellations of dependent jobs get the state "cancelled". */
  @Test
  void repeatsAndCancelsOfDerivedStates() {
    cluster = new DependentJobs(322);
    List<JobId> all = cluster.submitShape("chain", 300);
    cluster.run(20);
    cluster.users.cancelAt(cluster.world.leader(), all.get(0), () -> {});
    cluster.world.clock.runFor(2);
    for (int node = 0; node < 3; node++) {
      for (int i = 1; i < 4; i++) {
        JobId id = all.get(i);
        byte[] body = DependentJobs.job(id.value(), 2, 5, List.of(all.get(i - 1))).bytes();
        DependentJobs.assertAnswer(
            200,
            "cancelled",
            cluster.world.controllers.answerTo(node, "POST", "/submissions", body));
        String path = "/submissions/" + id + "/cancel";
        DependentJobs.assertAnswer(
            200, "cancelled", cluster.world.controllers.answerTo(node, "POST", path, new byte[0]));
      }
    }
    cluster.assertNoRuleBroken();
  }

  /**
   * Thousands of jobs depend on one; its cancellation is answered at once and cancels all of them.
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
  void thousandsAfterOne(String asked, String then) {
    cluster = new DependentJobs(351, 0, new SimCluster.Size(3, 4, 60, 30));
    JobId first = cluster.submit("wk-1", 2, 3000);
    cluster.run(20);
    List<JobId> all = submitThousandsAfter(first);
    int leader = cluster.world.leader();
    double asking = cluster.world.clock.seconds();
    double[] confirmedAt = {-1};
    if (then.equals("lower")) {
      cluster.world.storeFaults.lowerLimits();
    }
    cluster.users.cancelAt(
        asked.equals("leader") ? leader : (leader + 1) % 3,
        first,
        () -> {
          confirmedAt[0] = cluster.world.clock.seconds();
          cluster.beginFault(then);
        });
    cluster.world.clock.runFor(10);
    assertTrue(confirmedAt[0] >= 0 && confirmedAt[0] - asking < 2, "answered at " + confirmedAt[0]);
    cluster.world.clock.runFor(
        confirmedAt[0] + DependentJobs.CANCEL_S + 1 - cluster.world.clock.seconds());
    if (!then.endsWith("outage")) {
      assertNoNodeAnswersQueued(all);
    }
    cluster.users.expectTimelyAnswers();
    for (int i = 0; i < 8; i++) {
      cluster.users.pollAll();
      cluster.world.clock.runFor(30);
    }
    cluster.assertNoRuleBroken();
    Set<String> states = new LinkedHashSet<>();
    all.forEach(id -> states.add(cluster.users.lastState(id)));
    assertEquals(Set.of("cancelled"), states);
    assertEquals(0, cluster.world.tasks.runningTasks(first));
  }

  /**
   * Submits two thousand jobs that depend on one, and asserts that their waiting causes no work.
   */
  private List<JobId> submitThousandsAfter(JobId first) {
    List<JobId> all = new ArrayList<>();
    for (int i = 0; i < 2000; i++) {
      SubmissionBuilder body =
          DependentJobs.job("wk-1" + String.format("%04d", i), 1, 5, List.of(first));
      cluster.users.submit(body);
      all.add(body.id());
      if (i % 10 == 9) {
        cluster.world.clock.runFor(0.8);
      }
    }
    cluster.world.clock.runFor(70);
    assertEquals(2001, cluster.users.accepted().size());
    long changes = cluster.world.counts.storeChanges();
    cluster.world.clock.runFor(20);
    assertTrue(cluster.world.counts.storeChanges() - changes < 20, "a wait costs no writes");
    return all;
  }

  private void assertNoNodeAnswersQueued(List<JobId> jobs) {
    for (int i = 0; i < jobs.size(); i += 97) {
      for (int node = 0; node < 3; node++) {
        String says = cluster.stateAt(node, jobs.get(i));
        assertTrue(says.equals("cancelled") || says.equals("503"), node + " says " + says);
      }
    }
  }
}
