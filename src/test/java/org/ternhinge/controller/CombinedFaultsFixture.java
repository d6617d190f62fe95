package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.SubmissionBuilder;

/** A simulated cluster with users on virtual time, for tests that combine two faults. */
abstract class CombinedFaultsFixture {
  /** More machines and a higher team limit than {@link SimCluster#SMALL}. */
  static final SimCluster.Size MEDIUM = new SimCluster.Size(3, 4, 60, 30);

  /** Time for the first election. */
  private static final double ELECTION_S = 5;

  /** Longer than any fault of these tests still lasts at the end of a test. */
  private static final double FAULT_SETTLING_S = 60;

  /** Longer than any job of these tests still runs once the faults have ended. */
  private static final double JOB_COMPLETION_S = 190;

  SimCluster cluster;
  SimUsers users;

  /** Creates a cluster without message loss and waits for the first election. */
  final void startCluster(long seed, SimCluster.Size size) {
    cluster = new SimCluster(seed, 0, size);
    users = new SimUsers(cluster);
    cluster.clock.runFor(ELECTION_S);
  }

  /**
   * A job whose tasks take two CPUs each; services run at production priority, not on spot
   * machines.
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

  /**
   * Runs until all faults and then all jobs have ended, and asserts that every job was answered in
   * time and no invariant was violated.
   */
  final void assertNoViolationsAtEnd() {
    run(FAULT_SETTLING_S);
    users.expectTimelyAnswers();
    run(JOB_COMPLETION_S);
    assertEquals(List.of(), cluster.violations());
  }

  final void assertDone(JobId id) {
    assertEquals("done", users.lastState(id));
  }

  final void assertCancelled(JobId id) {
    assertEquals("cancelled", users.lastState(id));
  }

  final void assertEnded(JobId id) {
    String state = users.lastState(id);
    assertTrue("done".equals(state) || "cancelled".equals(state), id + " is " + state);
  }

  final void assertRunning(int tasks, JobId id) {
    assertEquals(tasks, cluster.tasks.runningTasks(id));
  }
}
