package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.sim.SimCluster;

/**
 * Machines that are provisioned and come up late or never. A small one takes 3 to 8 s as a rule.
 */
class LateMachinesTest {
  /** Within this time a machine that does not come up has been replaced, and the other is up. */
  private static final double REPLACED_S = 30;

  /** When a machine that does not come up is returned, plus the time that it takes to be told. */
  private static final double GIVEN_UP_S = 60;

  private final DependentJobs cluster =
      DependentJobs.withoutComingLimits(29, new SimCluster.Size(3, 60, 400, 30));

  /** A job each of whose tasks takes a small machine for itself. */
  private JobId submit(String id, int tasks, double runsS) {
    ObjectNode body =
        DependentJobs.job(id, tasks, runsS, List.of()).put("cpus", 4.0).put("lanvelar", false);
    body.putArray("velagerdir").add("small");
    cluster.users.submit(body);
    return DependentJobs.idOf(body);
  }

  private void firstNeverComeUp(int count) {
    Set<Integer> dead = new HashSet<>();
    for (int i = 0; i < count; i++) {
      dead.add(i);
    }
    cluster.world.bootFaults.neverComesUp(dead);
  }

  /** Their room was counted on for 50 s before, three times their usual time and more. */
  @ParameterizedTest(name = "{0} of {1} never come up, the list lags by {2} s")
  @CsvSource({"1,1,0", "1,4,0", "2,12,10", "8,24,0", "8,24,10"})
  void theDeadAreReplacedAndReturned(int dead, int tasks, double lagS) {
    cluster.world.bootFaults.listLags(lagS);
    firstNeverComeUp(dead);
    JobId job = submit("wk-1", tasks, 60);
    cluster.run(REPLACED_S);
    assertEquals(tasks, cluster.world.tasks.runningTasks(job), "tasks that run");
    assertTrue(cluster.world.machinesMade() <= tasks + dead + 4, "machines provisioned");
    cluster.run(GIVEN_UP_S - REPLACED_S);
    assertEquals(List.of(), cluster.world.bootingMachines(), "machines still paid for");
    cluster.nothingBroken();
  }

  /** A new leader knows from the list since when a machine boots, and does not wait anew. */
  @ParameterizedTest(name = "the leader ends after {0} s, the list lags by {1} s")
  @CsvSource({"5,0", "12,0", "12,5", "30,0", "40,0", "40,5"})
  void aNewLeaderDoesNotBeginToWaitAnew(double crashAfterS, double lagS) {
    cluster.world.bootFaults.listLags(lagS);
    firstNeverComeUp(3);
    JobId job = submit("wk-1", 9, 120);
    cluster.run(crashAfterS);
    cluster.world.crash(cluster.world.leader(), 20);
    // Six seconds until another leads, and the lag until its list tells the machines' age.
    double later = 8 + 2 * lagS;
    cluster.run(Math.max(REPLACED_S - crashAfterS, 0) + later);
    assertEquals(9, cluster.world.tasks.runningTasks(job), "tasks that run");
    cluster.run(Math.max(GIVEN_UP_S - Math.max(REPLACED_S, crashAfterS), 15));
    assertEquals(List.of(), cluster.world.bootingMachines(), "machines still paid for");
    cluster.nothingBroken();
  }

  /** Where a type is slow as such, waiting for it costs less than provisioning all of it twice. */
  @ParameterizedTest(name = "{0} tasks, machines {1} times as late")
  @CsvSource({"20,3", "20,6", "40,4"})
  void aSlowTypeIsNotPaidForTwice(int tasks, double factor) {
    cluster.world.bootFaults.slow("small", null, factor);
    JobId job = submit("wk-1", tasks, 300);
    cluster.run(5 * 1.6 * factor + 12);
    assertEquals(tasks, cluster.world.tasks.runningTasks(job), "tasks that run");
    int most = (int) (1.5 * tasks) + 4;
    assertTrue(
        cluster.world.machinesMade() <= most,
        cluster.world.machinesMade() + " machines provisioned");
    cluster.nothingBroken();
  }

  /** What came up after it was replaced is used, or returned once it has idled. */
  @ParameterizedTest(name = "{0} times as late")
  @CsvSource({"4", "7"})
  void theLateAreUsedOrReturned(double factor) {
    cluster.world.bootFaults.slow("small", "east", factor);
    submit("wk-1", 6, 20);
    cluster.run(200);
    assertEquals("done", cluster.users.lastTold(new JobId("wk-1")));
    Set<MachineId> left = new HashSet<>(cluster.world.bootingMachines());
    assertEquals(Set.of(), left, "machines that still boot");
    assertTrue(cluster.world.liveWorkers().size() <= 6, "machines that idle");
    cluster.nothingBroken();
  }
}
