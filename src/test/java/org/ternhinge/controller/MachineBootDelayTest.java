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

/**
 * Provisioned machines that boot slowly or never. A small machine usually boots within 3 to 8 s.
 */
class MachineBootDelayTest {
  /** Time within which a machine that does not boot is replaced by one that has booted. */
  private static final double MAX_REPLACEMENT_S = 30;

  /** Time within which a machine that does not boot is released, including the release itself. */
  private static final double MAX_RELEASE_S = 60;

  private final ClusterFixture cluster =
      ClusterFixture.withoutAnnouncedLimits(29, new SimCluster.Size(3, 60, 400, 30));

  /** Submits a job each of whose tasks fills a small machine. */
  private JobId submit(String id, int tasks, double runS) {
    SubmissionBuilder body =
        ClusterFixture.job(id, tasks, runS, List.of()).cpus(4.0).spotAllowed(false);
    body.machineTypes("small");
    cluster.users.submit(body);
    return body.id();
  }

  private void failFirstBoots(int count) {
    Set<Integer> failedBoots = new HashSet<>();
    for (int i = 0; i < count; i++) {
      failedBoots.add(i);
    }
    cluster.simulation.bootFaults.neverBoots(failedBoots);
  }

  /** Machines that never boot are replaced long before they are released. */
  @ParameterizedTest(name = "{0} of {1} never boot, the list lags by {2} s")
  @CsvSource({"1,1,0", "1,4,0", "2,12,10", "8,24,0", "8,24,10"})
  void failedBootsAreReplacedAndReleased(int failedBoots, int tasks, double lagS) {
    cluster.simulation.bootFaults.setListLag(lagS);
    failFirstBoots(failedBoots);
    JobId job = submit("wk-1", tasks, 60);
    cluster.run(MAX_REPLACEMENT_S);
    assertEquals(tasks, cluster.simulation.tasks.runningTasks(job), "running tasks");
    assertTrue(
        cluster.simulation.machines.totalProvisioned() <= tasks + failedBoots + 4,
        "too many machines were provisioned");
    cluster.run(MAX_RELEASE_S - MAX_REPLACEMENT_S);
    assertEquals(
        List.of(), cluster.simulation.machines.booting(), "booting machines that are not released");
    cluster.assertNoViolations();
  }

  /**
   * A new leader reads the age of a booting machine from the cloud's list, so the boot deadline
   * stays the same.
   */
  @ParameterizedTest(name = "the leader crashes after {0} s, the list lags by {1} s")
  @CsvSource({"5,0", "12,0", "12,5", "30,0", "40,0", "40,5"})
  void failoverDoesNotExtendBootDeadline(double crashAfterS, double lagS) {
    cluster.simulation.bootFaults.setListLag(lagS);
    failFirstBoots(3);
    JobId job = submit("wk-1", 9, 120);
    cluster.run(crashAfterS);
    cluster.simulation.controllers.crash(cluster.simulation.leader(), 20);
    // Six seconds until another node leads, plus the lag until its list shows the machines' age.
    double failoverS = 8 + 2 * lagS;
    cluster.run(Math.max(MAX_REPLACEMENT_S - crashAfterS, 0) + failoverS);
    assertEquals(9, cluster.simulation.tasks.runningTasks(job), "running tasks");
    cluster.run(Math.max(MAX_RELEASE_S - Math.max(MAX_REPLACEMENT_S, crashAfterS), 15));
    assertEquals(
        List.of(), cluster.simulation.machines.booting(), "booting machines that are not released");
    cluster.assertNoViolations();
  }

  /**
   * If all machines of a type boot slowly, waiting costs less than provisioning each of them twice.
   */
  @ParameterizedTest(name = "{0} tasks, boot time times {1}")
  @CsvSource({"20,3", "20,6", "40,4"})
  void slowMachineTypeIsNotProvisionedTwice(int tasks, double factor) {
    cluster.simulation.bootFaults.slowBoots("small", null, factor);
    JobId job = submit("wk-1", tasks, 300);
    cluster.run(5 * 1.6 * factor + 12);
    assertEquals(tasks, cluster.simulation.tasks.runningTasks(job), "running tasks");
    int maxProvisioned = (int) (1.5 * tasks) + 4;
    assertTrue(
        cluster.simulation.machines.totalProvisioned() <= maxProvisioned,
        cluster.simulation.machines.totalProvisioned() + " machines provisioned");
    cluster.assertNoViolations();
  }

  /** Machines that boot after they were replaced are used, or released when idle. */
  @ParameterizedTest(name = "boot time times {0}")
  @CsvSource({"4", "7"})
  void lateMachinesAreUsedOrReleased(double factor) {
    cluster.simulation.bootFaults.slowBoots("small", "east", factor);
    submit("wk-1", 6, 20);
    cluster.run(200);
    assertEquals("done", cluster.users.lastState(new JobId("wk-1")));
    Set<MachineId> left = new HashSet<>(cluster.simulation.machines.booting());
    assertEquals(Set.of(), left, "machines that are still booting");
    assertTrue(cluster.simulation.machines.live().size() <= 6, "too many live machines");
    cluster.assertNoViolations();
  }
}
