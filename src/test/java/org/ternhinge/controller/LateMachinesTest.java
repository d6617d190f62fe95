package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SubmissionBuilder;

/** Machines that are provisioned and come up late or never. A small one usually takes 3 to 8 s. */
class LateMachinesTest {
  /** Within this time a machine that does not come up is replaced by another one that is up. */
  private static final double REPLACED_S = 30;

  /** When a machine that does not come up is released, with the time of the release itself. */
  private static final double RELEASED_S = 60;

  private final DependentJobs cluster =
      DependentJobs.withoutAnnouncedLimits(29, new SimCluster.Size(3, 60, 400, 30));

  /** A job each of whose tasks takes a small machine for itself. */
  private JobId submit(String id, int tasks, double runS) {
    SubmissionBuilder body =
        DependentJobs.job(id, tasks, runS, List.of()).cpus(4.0).spotAllowed(false);
    body.machineTypes("small");
    cluster.users.submit(body);
    return body.id();
  }

  private void firstNeverComeUp(int count) {
    Set<Integer> dead = new HashSet<>();
    for (int i = 0; i < count; i++) {
      dead.add(i);
    }
    cluster.world.bootFaults.neverBoots(dead);
  }

  /** Machines that never come up are replaced long before they are released. */
  @ParameterizedTest(name = "{0} of {1} never come up, the list lags by {2} s")
  @CsvSource({"1,1,0", "1,4,0", "2,12,10", "8,24,0", "8,24,10"})
  void deadMachinesAreReplacedAndReleased(int dead, int tasks, double lagS) {
    cluster.world.bootFaults.setListLag(lagS);
    firstNeverComeUp(dead);
    JobId job = submit("wk-1", tasks, 60);
    cluster.run(REPLACED_S);
    assertEquals(tasks, cluster.world.tasks.runningTasks(job), "tasks that run");
    assertTrue(
        cluster.world.machines.totalProvisioned() <= tasks + dead + 4, "machines provisioned");
    cluster.run(RELEASED_S - REPLACED_S);
    assertEquals(List.of(), cluster.world.machines.booting(), "machines still paid for");
    cluster.assertNoRuleBroken();
  }

  /** A new leader reads the age of a booting machine from the list; its deadline stays the same. */
  @ParameterizedTest(name = "the leader ends after {0} s, the list lags by {1} s")
  @CsvSource({"5,0", "12,0", "12,5", "30,0", "40,0", "40,5"})
  void aFailoverDoesNotExtendTheBootDeadline(double crashAfterS, double lagS) {
    cluster.world.bootFaults.setListLag(lagS);
    firstNeverComeUp(3);
    JobId job = submit("wk-1", 9, 120);
    cluster.run(crashAfterS);
    cluster.world.controllers.crash(cluster.world.leader(), 20);
    // Six seconds until another leads, and the lag until its list gives the machines' age.
    double later = 8 + 2 * lagS;
    cluster.run(Math.max(REPLACED_S - crashAfterS, 0) + later);
    assertEquals(9, cluster.world.tasks.runningTasks(job), "tasks that run");
    cluster.run(Math.max(RELEASED_S - Math.max(REPLACED_S, crashAfterS), 15));
    assertEquals(List.of(), cluster.world.machines.booting(), "machines still paid for");
    cluster.assertNoRuleBroken();
  }

  /** Where a whole type boots slowly, waiting costs less than provisioning all machines twice. */
  @ParameterizedTest(name = "{0} tasks, machines {1} times as late")
  @CsvSource({"20,3", "20,6", "40,4"})
  void aSlowMachineTypeIsNotProvisionedTwice(int tasks, double factor) {
    cluster.world.bootFaults.slowBoots("small", null, factor);
    JobId job = submit("wk-1", tasks, 300);
    cluster.run(5 * 1.6 * factor + 12);
    assertEquals(tasks, cluster.world.tasks.runningTasks(job), "tasks that run");
    int most = (int) (1.5 * tasks) + 4;
    assertTrue(
        cluster.world.machines.totalProvisioned() <= most,
        cluster.world.machines.totalProvisioned() + " machines provisioned");
    cluster.assertNoRuleBroken();
  }

  /** Machines that come up after they were replaced are used, or released when idle. */
  @ParameterizedTest(name = "{0} times as late")
  @CsvSource({"4", "7"})
  void lateMachinesAreUsedOrReleased(double factor) {
    cluster.world.bootFaults.slowBoots("small", "east", factor);
    submit("wk-1", 6, 20);
    cluster.run(200);
    assertEquals("done", cluster.users.lastState(new JobId("wk-1")));
    Set<MachineId> left = new HashSet<>(cluster.world.machines.booting());
    assertEquals(Set.of(), left, "machines that still boot");
    assertTrue(cluster.world.machines.live().size() <= 6, "machines that idle");
    cluster.assertNoRuleBroken();
  }
}
