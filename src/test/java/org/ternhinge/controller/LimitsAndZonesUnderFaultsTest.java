package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;

/** Team limits and zone constraints while machines, zones or leaders fail, on virtual time. */
class LimitsAndZonesUnderFaultsTest extends CombinedFaultsFixture {
  /** Combines a team at its limit, unreachable machines, a failover and a cancellation. */
  @ParameterizedTest(name = "seed {0}, cut {1} s, cancelled after {2} s")
  @CsvSource({"141, 20, 1", "142, 40, 3", "143, 40, 8", "144, 60, 8", "145, 30, 12"})
  void teamAtItsLimitCompletesAfterFailover(long seed, double cutS, double afterS) {
    startCluster(seed, SimCluster.SMALL);
    JobId cancelled = submit(job("wk-1", "batch", 6, 400));
    JobId longer = submit(job("wk-2", "batch", 6, 60));
    JobId waitingJob = submit(job("wk-3", "batch", 8, 10));
    run(40);
    assertEquals(12, cluster.tasks.runningTasks(cancelled) + cluster.tasks.runningTasks(longer));
    cluster.machineFaults.isolateWorkerOf(cancelled, cutS);
    cluster.controllers.crash(cluster.leader(), 3);
    cluster.clock.runFor(afterS);
    users.cancel(cancelled);
    run(150);
    assertNoViolationsAtEnd();
    assertDone(longer);
    assertDone(waitingJob);
  }

  /** Jobs that are restricted to one zone lose machines in that zone. */
  @ParameterizedTest(name = "{0}, seed {1}")
  @CsvSource({"batch, 151", "batch, 152", "group, 153", "group, 154", "daemon, 155"})
  void zoneBoundJobsSurviveMachineLoss(String kind, long seed) {
    startCluster(seed, MEDIUM);
    SubmissionBuilder body = job("wk-1", kind, 3, 60).spotAllowed(false).together(true);
    body.zone("west");
    JobId bound = submit(body);
    JobId unbound = submit(job("wk-2", kind, 3, 60).spotAllowed(false).together(true));
    run(30);
    for (JobId id : List.of(bound, unbound)) {
      cluster.machineFaults.isolateWorkerOf(id, 50);
      cluster.machineFaults.hangWorkersOf(id, 1, 10);
    }
    run(20);
    cluster.controllers.crash(cluster.leader(), 1);
    run(150);
    assertNoViolationsAtEnd();
    if (!kind.equals("daemon")) {
      assertDone(bound);
      assertDone(unbound);
    }
  }

  /** A zone is cut off together with its controllers, for less and for more than a lease. */
  @ParameterizedTest(name = "{0} for {1} s")
  @CsvSource({"east, 15", "west, 15", "east, 40", "west, 40", "east, 80", "west, 80"})
  void jobsSurviveIsolationOfZoneWithControllers(String zone, double seconds) {
    startCluster(181, MEDIUM);
    JobId service = submit(job("wk-1", "daemon", 4, 0).scatter(true));
    JobId cancelled = submit(job("wk-2", "batch", 8, 400));
    run(60);
    cluster.networkFaults.isolateZone(zone, seconds);
    cluster.clock.runFor(3);
    users.cancel(cancelled);
    run(seconds);
    assertNoViolationsAtEnd();
    assertCancelled(cancelled);
    assertRunning(4, service);
  }
}
