package org.ternhinge.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.ledger.Job;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.ReportedTasks;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.TaskId;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.TaskState;
import org.ternhinge.wire.TaskStatus;

/** Tests the expiry of leases, reservations and grace periods, and renewal without commands. */
class LeaseMonitorTest {
  private final LeadershipFixture fixture = new LeadershipFixture();
  private final ReportedTasks reportedTasks = fixture.reportedTasks();
  private final LeaseMonitor monitor =
      new LeaseMonitor(
          fixture.context,
          fixture.machines,
          fixture.attempts,
          reportedTasks,
          fixture.dispatcher,
          fixture.startFence);
  private final Machine machine = fixture.addMachine("n-1");
  private final Job job = fixture.addJob(SubmissionJson.smallJob("wk-1", "batch", 2));

  private TaskStatus running(TaskId task, AttemptNumber number) {
    return new TaskStatus(task, number, TaskState.RUNNING, null, false);
  }

  /** Resources reserved for a job that was placed elsewhere must become available again. */
  @ParameterizedTest(name = "12 s reservation after {0} s")
  @CsvSource({"11.9, 1, 0", "12.1, 0, 1"})
  void reservationsExpire(double ageS, int left, int rounds) {
    JobId forJob = new JobId("wk-2");
    Resources resources = Resources.ofCapacity(1, 0, 1);
    machine.reserve(new Machine.Reservation(forJob, resources, fixture.now().plusSeconds(12)));
    fixture.clock.runFor(ageS);
    monitor.check(fixture.now());
    assertEquals(left, machine.reservations().size());
    assertEquals(rounds, fixture.roundsRequested);
  }

  /** A worker with an expired lease has killed its tasks; only then may they start elsewhere. */
  @ParameterizedTest(name = "{0} s after the last response")
  @CsvSource({"9.9, true", "10.1, false"})
  void attemptsAreClosedWhenLeaseExpires(double silentForS, boolean open) {
    Attempt attempt = fixture.openAttempt(job, 0, machine);
    reportedTasks.update(machine, List.of(running(attempt.task(), attempt.number())));
    fixture.clock.runFor(silentForS);
    monitor.check(fixture.now());
    assertEquals(open ? attempt : null, job.openAttempt(0));
    assertEquals(open, reportedTasks.isReported(attempt.task()));
    assertEquals(open ? AgentEpoch.NONE : new AgentEpoch(1), machine.agent().lastEndedEpoch());
  }

  /** Tasks without attempt, from a delayed heartbeat, must not block starts indefinitely. */
  @Test
  void tasksWithoutAttemptAreDroppedWhenLeaseExpires() {
    TaskId unknown = new TaskId(new JobId("wk-9"), 0);
    reportedTasks.update(machine, List.of(running(unknown, new AttemptNumber(1))));
    fixture.clock.runFor(10.1);
    monitor.check(fixture.now());
    assertFalse(reportedTasks.isReported(unknown));
  }

  /** Time limit: 3 s grace, 5 s until gang peers notice, and 2 s heartbeat interval. */
  @ParameterizedTest(name = "after {0} s")
  @CsvSource({"9.9, 3", "10.1, 0"})
  void overdueStopIsRepeatedWithoutGrace(double afterS, double graceS) {
    Attempt attempt = fixture.openAttempt(job, 0, machine);
    attempt.observe(AttemptState.RUNNING, fixture.now());
    fixture.attempts.stop(attempt, 3);
    fixture.clock.runFor(afterS);
    machine.agent().extendLease(fixture.now().plusSeconds(1));
    monitor.check(fixture.now());
    assertEquals(graceS, attempt.stopGraceS());
  }

  /** While no stop may be sent, a task is stopped only by the expiry of the lease. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "task may run,              none,      false, true",
    "task is stopping,          stop,      false, false",
    "job is cancelled,          cancel,    false, false",
    "task is unknown,           none,      true,  false"
  })
  void leaseIsRenewableWithoutCommandsOnlyIfNothingMustStop(
      String name, String stopCause, boolean unknownTask, boolean mayRenew) {
    Attempt attempt = fixture.openAttempt(job, 0, machine);
    if (stopCause.equals("stop")) {
      attempt.requestStop(0, fixture.now());
    } else if (stopCause.equals("cancel")) {
      fixture.ledger.cancel(job);
    }
    TaskId task = unknownTask ? new TaskId(new JobId("wk-9"), 0) : attempt.task();
    Heartbeat heartbeat =
        fixture.heartbeat(machine).withTask(task, attempt.number(), TaskState.RUNNING).build();
    assertEquals(mayRenew, monitor.mayRenewWithoutCommands(heartbeat));
  }

  /** The lease expiry has no effect on a machine without attempts or reported tasks. */
  @Test
  void idleMachineKeepsItsEpoch() {
    fixture.clock.runFor(60);
    monitor.check(fixture.now());
    assertEquals(AgentEpoch.NONE, machine.agent().lastEndedEpoch());
    assertNull(job.openAttempt(0));
  }
}
