package org.ternhinge.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.attempt.TermFence;
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

/** Expiry of leases, reservations and graces, and leases that may be renewed without commands. */
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
          new TermFence(fixture.authority, fixture.writer, fixture.machines));
  private final Machine machine = fixture.machine("n-1");
  private final Job job = fixture.job(SubmissionJson.smallJob("wk-1", "batch", 2));

  private TaskStatus running(TaskId task, AttemptNumber number) {
    return new TaskStatus(task, number, TaskState.RUNNING, null, false);
  }

  /** Room reserved for a job that was placed elsewhere must become available again. */
  @ParameterizedTest(name = "a reservation for 12 s after {0} s")
  @CsvSource({"11.9, 1, 0", "12.1, 0, 1"})
  void reservationsExpire(double ageS, int left, int rounds) {
    JobId forJob = new JobId("wk-2");
    Resources room = Resources.offer(1, 0, 1);
    machine.reserve(new Machine.Reservation(forJob, room, fixture.now().plusSeconds(12)));
    fixture.clock.runFor(ageS);
    monitor.check(fixture.now());
    assertEquals(left, machine.reservations().size());
    assertEquals(rounds, fixture.roundsRequested);
  }

  /** A worker past its lease has killed its tasks: only then may they start elsewhere. */
  @ParameterizedTest(name = "{0} s after its last answer")
  @CsvSource({"9.9, true", "10.1, false"})
  void attemptsAreClosedWithTheLease(double silentForS, boolean open) {
    Attempt attempt = fixture.open(job, 0, machine);
    reportedTasks.show(machine, List.of(running(attempt.task(), attempt.number())));
    fixture.clock.runFor(silentForS);
    monitor.check(fixture.now());
    assertEquals(open ? attempt : null, job.open(0));
    assertEquals(open, reportedTasks.isShown(attempt.task()));
    assertEquals(open ? AgentEpoch.NONE : new AgentEpoch(1), machine.agent().lastEndedEpoch());
  }

  /** A delayed heartbeat may show tasks without an attempt; they must not block starts for ever. */
  @Test
  void tasksWithoutAnAttemptAreForgottenWithTheLease() {
    TaskId unknown = new TaskId(new JobId("wk-9"), 0);
    reportedTasks.show(machine, List.of(running(unknown, new AttemptNumber(1))));
    fixture.clock.runFor(10.1);
    monitor.check(fixture.now());
    assertFalse(reportedTasks.isShown(unknown));
  }

  /** Time to save, to learn of the peers' saving, and to report: 3 + 5 + 2 seconds. */
  @ParameterizedTest(name = "after {0} s")
  @CsvSource({"9.9, 3", "10.1, 0"})
  void anOverdueStopIsRepeatedWithoutGrace(double afterS, double graceS) {
    Attempt attempt = fixture.open(job, 0, machine);
    attempt.observe(AttemptState.RUNNING, fixture.now());
    fixture.attempts.stop(attempt, 3);
    fixture.clock.runFor(afterS);
    machine.agent().extendLease(fixture.now().plusSeconds(1));
    monitor.check(fixture.now());
    assertEquals(graceS, attempt.stopGraceS());
  }

  /** Where no stop may be sent, the expiry of the lease is what stops a task. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "a task that may run,       none,      false, true",
    "a task that is stopped,    stop,      false, false",
    "a task that is cancelled,  cancel,    false, false",
    "a task unknown here,       none,      true,  false"
  })
  void leasesThatMayBeRenewedWithoutCommands(
      String name, String unwanted, boolean unknownTask, boolean mayRenew) {
    Attempt attempt = fixture.open(job, 0, machine);
    if (unwanted.equals("stop")) {
      attempt.stop(0, fixture.now());
    } else if (unwanted.equals("cancel")) {
      fixture.ledger.cancel(job);
    }
    TaskId task = unknownTask ? new TaskId(new JobId("wk-9"), 0) : attempt.task();
    Heartbeat heartbeat =
        fixture.heartbeat(machine).showing(task, attempt.number(), TaskState.RUNNING).build();
    assertEquals(mayRenew, monitor.mayRenewWithoutCommands(heartbeat));
  }

  /** A machine without attempts and tasks is not affected by the expiry of its lease. */
  @Test
  void anIdleMachineKeepsItsEpoch() {
    fixture.clock.runFor(60);
    monitor.check(fixture.now());
    assertEquals(AgentEpoch.NONE, machine.agent().lastEndedEpoch());
    assertNull(job.open(0));
  }
}
