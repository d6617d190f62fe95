package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.Specs;

/** A simulated cluster with users, for the tests of two faults at a time, on virtual time. */
abstract class CombinedFaultsFixture {
  /** More machines than {@link SimCluster#SMALL} has, and more that a team may use. */
  static final SimCluster.Size MEDIUM = new SimCluster.Size(3, 4, 60, 30);

  /** Until the first controller has been elected. */
  private static final double ELECTION_S = 5;

  private static final double POLL_S = 3;

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
  static ObjectNode job(String id, String kind, int tasks, double runS) {
    ObjectNode body = Specs.json(id, kind, tasks).put("cpus", 2.0).put("aaetlun_s", runS);
    if (kind.equals("daemon")) {
      body.put("forgang", "production").put("lanvelar", false);
    }
    return body;
  }

  final JobId submit(ObjectNode body) {
    users.submit(body);
    return new JobId(body.get("ref").asText());
  }

  /** Lets time pass, with polls of every job. */
  final void run(double seconds) {
    double end = cluster.clock.seconds() + seconds;
    while (cluster.clock.seconds() < end - 1e-6) {
      cluster.clock.runFor(Math.min(POLL_S, end - cluster.clock.seconds()));
      users.pollAll();
    }
  }

  /** Lets the faults end, then asserts that every job was answered for and no rule was broken. */
  final void assertRulesHoldToTheEnd() {
    run(FAULTS_END_S);
    users.quiet();
    run(JOBS_END_S);
    assertEquals(List.of(), cluster.violations());
  }

  final void assertDone(JobId id) {
    assertEquals("done", users.lastTold(id));
  }

  final void assertCancelled(JobId id) {
    assertEquals("cancelled", users.lastTold(id));
  }

  final void assertOver(JobId id) {
    String told = users.lastTold(id);
    assertTrue("done".equals(told) || "cancelled".equals(told), id + " is " + told);
  }

  final void assertRunning(int tasks, JobId id) {
    assertEquals(tasks, cluster.tasks.runningTasks(id));
  }
}
