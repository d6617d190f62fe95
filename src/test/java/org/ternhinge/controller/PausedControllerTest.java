package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;

/**
 * A controller process is paused for seconds while its clocks keep running, or all controllers are
 * down for up to 100 s.
 */
class PausedControllerTest {
  private final ClusterFixture cluster =
      ClusterFixture.withoutAnnouncedLimits(61, new SimCluster.Size(3, 8, 400, 30));

  private List<JobId> submit(String prefix, int jobs, int tasks, double runS) {
    List<JobId> ids = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      ids.add(cluster.submit(prefix + i, tasks, runS));
    }
    return ids;
  }

  /**
   * The process is paused while the commands of a round wait for their connections. When it
   * resumes, another leader may have claimed a higher term; commands of the old term must not be
   * sent.
   */
  @ParameterizedTest(name = "paused {0} s after a submission for {1} s")
  @CsvSource({
    "0.05, 3",
    "0.05, 8",
    "0.05, 30",
    "0.2, 8",
    "0.3, 8",
    "0.4, 8",
    "0.4, 30",
    "0.6, 8",
    "0.8, 30"
  })
  void noCommandIsSentAfterLeaseExpiry(double afterS, double seconds) {
    submit("wk-1", 4, 6, 60);
    // Leaves idle machines, so that the next jobs need not wait for machines to boot.
    submit("wk-0", 4, 8, 5);
    cluster.run(35);
    cluster.simulation.connectDelayS = 0.25;
    submit("wk-2", 4, 8, 5);
    cluster.simulation.clock.runFor(afterS);
    cluster.simulation.controllers.pause(cluster.simulation.leader(), seconds);
    cluster.run(seconds + 20);
    assertEquals(
        0, cluster.simulation.counts.commandsOfStaleTerms(), "commands sent under an old term");
    cluster.assertAllDoneAfter(90);
  }

  /** The pause begins at various times between two lease renewals, which are 2 s apart. */
  @ParameterizedTest(name = "{0} s after a renewal, for {1} s")
  @CsvSource({
    "0, 5", "0.5, 5", "1, 5", "1.5, 5", "1.9, 5", "0, 7", "0.7, 7", "1.4, 7", "1.99, 7", "0, 25",
    "1, 25", "2, 25"
  })
  void pauseDuringRenewalViolatesNoInvariant(double offsetS, double seconds) {
    List<JobId> jobs = submit("wk-1", 4, 6, 90);
    cluster.run(30 + offsetS);
    cluster.simulation.connectDelayS = 0.05;
    int paused = cluster.simulation.leader();
    cluster.simulation.controllers.pause(paused, seconds);
    cluster.simulation.clock.runFor(0.1);
    submit("wk-2", 3, 4, 5);
    cluster.users.cancel(jobs.get(0));
    cluster.run(seconds + 15);
    assertEquals("cancelled", cluster.users.lastState(jobs.get(0)));
    assertEquals(
        0, cluster.simulation.counts.commandsOfStaleTerms(), "commands sent under an old term");
    cluster.users.expectTimelyAnswers();
    cluster.run(120);
    cluster.assertNoViolations();
  }

  /**
   * All controllers are down for longer than a lease, so all tasks have ended. The next leader
   * closes open attempts in few writes, starts services first and keeps confirmed cancellations.
   */
  @ParameterizedTest(name = "all down for {0} s")
  @CsvSource({"30", "60", "100"})
  void tasksRestartAfterAllControllersWereDown(double seconds) {
    List<JobId> services = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      var body = ClusterFixture.job("wk-3" + i, 4, 0, List.of());
      body.kind("daemon").priority("production").scatter(true);
      cluster.users.submit(body);
      services.add(body.id());
    }
    List<JobId> arrays = submit("wk-1", 8, 10, 150);
    cluster.run(40);
    cluster.users.cancel(arrays.get(0));
    cluster.run(3);
    assertEquals("cancelled", cluster.users.lastState(arrays.get(0)));
    for (int i = 0; i < 3; i++) {
      cluster.simulation.controllers.crash(i, seconds + i * 0.2);
    }
    cluster.run(seconds + 2);
    long changes = cluster.simulation.counts.storeChanges();
    cluster.run(14);
    int running = services.stream().mapToInt(cluster.simulation.tasks::runningTasks).sum();
    assertEquals(20, running, "restarted replicas");
    assertEquals(0, cluster.simulation.tasks.runningTasks(arrays.get(0)), "cancelled tasks");
    long settlingChanges = cluster.simulation.counts.storeChanges() - changes;
    assertTrue(settlingChanges < 14 * 30, settlingChanges + " store changes after the restart");
    cluster.run(60);
    int restarted = arrays.stream().mapToInt(cluster.simulation.tasks::runningTasks).sum();
    assertEquals(70, restarted, "restarted tasks of the arrays");
    cluster.assertNoViolations();
  }

  /** A paused follower affects neither leadership nor jobs. */
  @Test
  void pausedFollowerDisturbsNoJob() {
    List<JobId> jobs = submit("wk-1", 4, 6, 10);
    cluster.simulation.controllers.pause((cluster.simulation.leader() + 1) % 3, 40);
    cluster.run(60);
    assertEquals(1, cluster.simulation.counts.leaderships());
    jobs.forEach(job -> assertEquals("done", cluster.users.lastState(job)));
    cluster.assertNoViolations();
  }
}
