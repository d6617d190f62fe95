package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.SubmissionBuilder;

/** A simulated cluster with users, for the tests of two faults at a time, on virtual time. */
abstract class CombinedFaultsFixture {
  /** More machines than {@link SimCluster#SMALL} has, and more that a team may use. */
  static final SimCluster.Size MEDIUM = new SimCluster.Size(3, 4, 60, 30);

  /** Until the first controller has been elected. */
  private static final double ELECTION_S = 5;

  /** Longer than any fault of these tests lasts on. */
  private static final double FAULTS_END_S = 60;

  /** Longer than any job of these tests may still take. */
  private static final double JOBS_END_S = 190;

  SimCluster cluster;
  SimUsers users;

  /** Begins with a new cluster without losses. */
  final void begin(long seed, SimCluster.Size size) {
    cluster = new SimCluster(seed, 0, size);
    users = new SimUsers(cluster);
    cluster.clock.runFor(ELECTION_S);
  }

  /**
   * A job whose tasks take two CPUs each and run so long; services may not run on spot machines.
   */
  static SubmissionBuilder job(String id, String kind, int tasks, double runS) {
    SubmissionBuilder body = SubmissionBuilder.job(id, kind, tasks).cpus(2.0).runsFor(runS);
    return body.productionIfService();
  }

  final JobId submit(SubmissionBuilder body) {
    users.submit(body);
    return body.id();
  }

  /** Advances the clock while users poll their jobs. */
  final void run(double seconds) {
    users.runWithPolling(seconds);
  }

  /** Lets the faults end, then asserts that every job was answered for and no rule was broken. */
  final void assertRulesHoldToTheEnd() {
    run(FAULTS_END_S);
    users.expectTimelyAnswers();
    run(JOBS_END_S);
    assertEquals(List.of(), cluster.violations());
  }

  final void assertDone(JobId id) {
    assertEquals("done", users.lastState(id));
  }

  final void assertCancelled(JobId id) {
    assertEquals("cancelled", users.lastState(id));
  }

  final void assertOver(JobId id) {
    String state = users.lastState(id);
    assertTrue("done".equals(state) || "cancelled".equals(state), id + " is " + state);
  }

  final void assertRunning(int tasks, JobId id) {
    assertEquals(tasks, cluster.tasks.runningTasks(id));
  }
}
