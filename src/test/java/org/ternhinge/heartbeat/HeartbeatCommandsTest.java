package org.ternhinge.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.ledger.Job;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.TaskState;

/** Which commands the answer to a heartbeat carries. */
class HeartbeatCommandsTest {
  private static final AttemptNumber FIRST = new AttemptNumber(1);

  private final LeadershipFixture fixture = new LeadershipFixture();
  private final HeartbeatCommands commands = new HeartbeatCommands(fixture.ledger);
  private final Machine machine = fixture.machine("n-1");
  private final Job job = fixture.job(SubmissionJson.smallJob("wk-1", "batch", 2));
  private final TaskId unknown = new TaskId(new JobId("wk-9"), 0);

  private static List<Command> command(Command.Op op, TaskId task, AttemptNumber number) {
    return List.of(new Command(op, task, number, 0));
  }

  @Test
  void aRunningTaskWithoutAnAttemptIsStopped() {
    assertEquals(
        command(Command.Op.STOP, unknown, FIRST),
        commands.commands(
            machine,
            fixture.heartbeat(machine).showing(unknown, FIRST, TaskState.RUNNING).build()));
  }

  /** Once it is forgotten, a start that arrives late would run it again. */
  @ParameterizedTest(name = "start outstanding: {0}")
  @CsvSource({"false", "true"})
  void anEndedTaskIsForgottenUnlessAStartOfItMayArrive(boolean startOutstanding) {
    if (startOutstanding) {
      machine.outstandingStarts().sent(unknown, FIRST);
    }
    assertEquals(
        startOutstanding ? List.of() : command(Command.Op.FORGET, unknown, FIRST),
        commands.commands(
            machine,
            fixture.heartbeat(machine).showingEnd(unknown, FIRST, EndReason.DONE).build()));
  }

  @Test
  void anEndedTaskIsNotForgottenBeforeItsEndIsRecorded() {
    Attempt attempt = fixture.open(job, 0, machine);
    machine.outstandingStarts().clear();
    fixture.store.pauseWrites();
    fixture.ledger.close(attempt, true);
    var heartbeat =
        fixture
            .heartbeat(machine)
            .showingEnd(attempt.task(), attempt.number(), EndReason.DONE)
            .build();
    assertEquals(List.of(), commands.commands(machine, heartbeat));
    fixture.store.resume();
    fixture.writer.pump();
    fixture.clock.runFor(1);
    assertEquals(
        command(Command.Op.FORGET, attempt.task(), attempt.number()),
        commands.commands(machine, heartbeat));
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "starting,                        STARTING,      ,   1, START",
    "starting in another epoch,       STARTING,      ,   2, ",
    "running,                         RUNNING,       ,   1, ",
    "stopped before it was shown,     STARTING,      0,  1, ",
    "stopped while it runs,           RUNNING,       5,  1, STOP",
    "stopped while it saves,          CHECKPOINTING, 5,  1, ",
    "stopped at once while it saves,  CHECKPOINTING, 0,  1, STOP"
  })
  void anOpenAttemptIsStartedOrStopped(
      String name, AttemptState state, Double stopGraceS, long epoch, Command.Op expected) {
    Attempt attempt = fixture.open(job, 0, machine);
    if (state.isReported()) {
      attempt.observe(state, fixture.now());
    }
    if (stopGraceS != null) {
      attempt.stop(stopGraceS, fixture.now());
    }
    double graceS = stopGraceS == null ? 0 : stopGraceS;
    assertEquals(
        expected == null
            ? List.of()
            : List.of(new Command(expected, attempt.task(), attempt.number(), graceS)),
        commands.commands(machine, fixture.heartbeat(machine).epoch(epoch).sequence(4).build()));
    assertEquals(expected == Command.Op.START ? 4 : -1, attempt.startAnswered());
  }

  @Test
  void theStopsOfAMachineDoNotDependOnAHeartbeat() {
    Attempt stopped = fixture.open(job, 0, machine);
    stopped.observe(AttemptState.RUNNING, fixture.now());
    stopped.stop(0, fixture.now());
    Attempt starting = fixture.open(job, 1, machine);
    assertEquals(
        command(Command.Op.STOP, stopped.task(), stopped.number()), commands.stops(machine));
    assertEquals(-1, starting.startAnswered());
  }
}
