package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimWorker;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * A direct message that a worker has executed and answered reaches it once more, after its tasks
 * were moved, cancelled, completed, replaced or preempted, on virtual time.
 */
class DuplicateCommandsTest extends CombinedFaultsFixture {
  /** What happens between the end of the task and the arrival of the duplicate. */
  private enum Interruption {
    NONE,
    LEADER_RESTART,
    FOLLOWER_RESTART,
    MACHINE_HANG,
    MACHINE_RESTART
  }

  /** A process or machine that comes back within a second. */
  private static final double INTERRUPTION_S = 0.8;

  /** Several heartbeats: the worker has been told to forget the task. */
  private static final double FORGOTTEN_AFTER_S = 10;

  /** Each interruption, with seconds until the duplicate arrives: up to more than a lease. */
  static Stream<Arguments> interruptions() {
    return Stream.of(Interruption.values())
        .flatMap(
            interruption ->
                Stream.of(0.5, 5.0, 25.0).map(delayS -> Arguments.of(interruption, delayS)));
  }

  private final TaskId task = new TaskId(new JobId("wk-1"), 0);

  /** Creates a cluster with idle machines that have all images, on which tasks start at once. */
  private void startIdleMachines(long seed, SimCluster.Size size) {
    startCluster(seed, size);
    cluster.imageFetchS = 0;
    submit(job("wk-9", "batch", 8, 5));
    run(40);
  }

  private SimWorker workerOf(JobId id) {
    return cluster.machines.running(id).get(0);
  }

  /** The attempt that a machine reports as running. */
  private AttemptNumber attemptOn(SimWorker machine) {
    return cluster.machines.lastHeartbeat(machine.id()).tasks().stream()
        .filter(status -> status.task().job().equals(task.job()) && !status.ended())
        .findFirst()
        .orElseThrow()
        .attempt();
  }

  private int machinesInUse(JobId id) {
    return cluster.tasks.machinesOf(id).size();
  }

  private void interrupt(Interruption interruption, SimWorker first) {
    int leader = cluster.leader();
    switch (interruption) {
      case LEADER_RESTART -> cluster.controllers.crash(leader, INTERRUPTION_S);
      case FOLLOWER_RESTART ->
          cluster.controllers.crash((leader + 1) % cluster.nodeCount(), INTERRUPTION_S);
      case MACHINE_HANG -> cluster.machineFaults.hang(first, INTERRUPTION_S);
      case MACHINE_RESTART -> cluster.machineFaults.restart(first);
      default -> {
        // The duplicate is the only fault.
      }
    }
  }

  /** Interrupts, waits and delivers the starts of the task once more; returns the starts before. */
  private int resendAfter(Interruption interruption, double delayS, SimWorker first) {
    run(FORGOTTEN_AFTER_S);
    interrupt(interruption, first);
    run(delayS);
    int startsBefore = cluster.tasks.startsOf(task.job());
    cluster.machineFaults.resendStarts(task);
    assertTrue(cluster.machineFaults.duplicateCommands() > 0, "no duplicate was delivered");
    return startsBefore;
  }

  @ParameterizedTest(name = "{0}, {1} s")
  @MethodSource("interruptions")
  void movedTaskIsNotStartedAgainOnItsFirstMachine(Interruption interruption, double delayS) {
    startIdleMachines(301, SimCluster.SMALL);
    submit(job("wk-1", "daemon", 1, 0));
    run(10);
    SimWorker first = workerOf(task.job());
    cluster.machineFaults.failTasksOn(first);
    cluster.machineFaults.failAllTasksOn(first);
    run(15);
    assertNotEquals(first.id(), workerOf(task.job()).id());
    int starts = resendAfter(interruption, delayS, first);
    run(10);
    assertEquals(1, machinesInUse(task.job()));
    assertEquals(starts, cluster.tasks.startsOf(task.job()));
    assertNoViolationsAtEnd();
  }

  @ParameterizedTest(name = "{0}, {1} s")
  @MethodSource("interruptions")
  void cancelledTaskIsNotStartedAgain(Interruption interruption, double delayS) {
    resendAfterCancellation(1, interruption, delayS);
  }

  /** The duplicate arrives when the time has passed in which the tasks must be gone. */
  @ParameterizedTest(name = "{0}, {1} s")
  @MethodSource("interruptions")
  void cancelledTaskIsNotStartedAfterItsCancellationTime(Interruption interruption, double delayS) {
    resendAfterCancellation(ClusterFixture.CANCEL_TIMEOUT_S, interruption, delayS);
  }

  private void resendAfterCancellation(
      double cancelledForS, Interruption interruption, double delayS) {
    startIdleMachines(302, SimCluster.SMALL);
    JobId job = submit(job("wk-1", "batch", 1, 300));
    // Keeps the machines in use.
    submit(job("wk-8", "batch", 8, 300));
    run(10);
    SimWorker first = workerOf(job);
    users.cancel(job);
    run(cancelledForS);
    assertCancelled(job);
    resendAfter(interruption, delayS, first);
    assertNoViolationsAtEnd();
    assertEquals(0, cluster.startsAfterCancel());
    assertCancelled(job);
  }

  @ParameterizedTest(name = "{0}, {1} s")
  @MethodSource("interruptions")
  void completedTaskIsNotStartedAgain(Interruption interruption, double delayS) {
    startIdleMachines(303, SimCluster.SMALL);
    JobId job = submit(job("wk-1", "batch", 1, 4));
    run(3);
    SimWorker first = workerOf(job);
    // Keeps the machines in use.
    submit(job("wk-8", "batch", 8, 200));
    run(12);
    assertDone(job);
    int starts = resendAfter(interruption, delayS, first);
    assertNoViolationsAtEnd();
    assertDone(job);
    assertEquals(starts, cluster.tasks.startsOf(job));
  }

  /** The tasks of a gang find one another by their attempt number, so a replacement needs a new. */
  @ParameterizedTest(name = "{0}, {1} s")
  @MethodSource("interruptions")
  void replacedGangTaskIsNotStartedAgain(Interruption interruption, double delayS) {
    startIdleMachines(304, SimCluster.SMALL);
    JobId gang = submit(job("wk-1", "group", 2, 200).cpus(4.0).spotAllowed(false));
    run(12);
    List<SimWorker> members = cluster.machines.running(gang);
    assertEquals(2, members.size());
    AttemptNumber first = attemptOn(members.get(0));
    cluster.machineFaults.failTasksOn(members.get(0));
    run(20);
    assertEquals(2, machinesInUse(gang));
    for (SimWorker member : cluster.machines.running(gang)) {
      assertTrue(attemptOn(member).compareTo(first) > 0, "attempt number used twice");
    }
    int starts = resendAfter(interruption, delayS, members.get(0));
    cluster.machineFaults.resendStarts(new TaskId(gang, 1));
    run(10);
    if (interruption != Interruption.MACHINE_RESTART) {
      assertEquals(starts, cluster.tasks.startsOf(gang));
    }
    assertNoViolationsAtEnd();
  }

  @ParameterizedTest(name = "{0}, {1} s")
  @MethodSource("interruptions")
  void preemptedTaskThatIsBackOnItsMachineRunsOnce(Interruption interruption, double delayS) {
    startIdleMachines(305, new SimCluster.Size(3, 1, 60, 30));
    JobId low = submit(wholeMachine("wk-1", 300).priority("low"));
    run(60);
    SimWorker first = workerOf(low);
    JobId high = submit(wholeMachine("wk-2", 10).priority("high"));
    run(40);
    assertDone(high);
    assertEquals(first, workerOf(low));
    int starts = resendAfter(interruption, delayS, first);
    run(10);
    assertEquals(1, machinesInUse(low));
    if (interruption != Interruption.MACHINE_RESTART) {
      assertEquals(starts, cluster.tasks.startsOf(low));
    }
    assertNoViolationsAtEnd();
  }

  /** A task that takes a whole machine of a kind of which there is one. */
  private static SubmissionBuilder wholeMachine(String id, double runS) {
    return job(id, "batch", 1, runS).cpus(4.0).zone("east").spotAllowed(false);
  }
}
