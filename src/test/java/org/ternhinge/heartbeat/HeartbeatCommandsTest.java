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

/** Tests which commands a heartbeat response contains. */
class HeartbeatCommandsTest {
  private static final AttemptNumber FIRST = new AttemptNumber(1);

  private final LeadershipFixture fixture = new LeadershipFixture();
  private final HeartbeatCommands commands =
      new HeartbeatCommands(fixture.context, fixture.startFence);
  private final Machine machine = fixture.addMachine("n-1");
  private final Job job = fixture.addJob(SubmissionJson.smallJob("wk-1", "batch", 2));
  private final TaskId unknown = new TaskId(new JobId("wk-9"), 0);

  private static List<Command> command(Command.Op op, TaskId task, AttemptNumber number) {
    return List.of(new Command(op, task, number, 0));
  }

  @Test
  void runningTaskWithoutAttemptIsStopped() {
    assertEquals(
        command(Command.Op.STOP, unknown, FIRST),
        commands.commands(
            machine,
            fixture.heartbeat(machine).withTask(unknown, FIRST, TaskState.RUNNING).build()));
  }

  /** After the worker has forgotten the task, a start that arrives again would run it again. */
  @ParameterizedTest(name = "start outstanding: {0}, tokens reserved: {1}")
  @CsvSource({"false, false, true", "true, false, false", "true, true, true"})
  void endedTaskIsForgottenUnlessStartMayArrive(
      boolean startOutstanding, boolean tokensReserved, boolean forgotten) {
    if (startOutstanding) {
      machine.outstandingStarts().recordSent(unknown, FIRST, fixture.tokens.tokenOf(machine));
    }
    if (!tokensReserved) {
      fixture.store.pauseWrites();
    }
    fixture.tokens.reserve();
    fixture.clock.runFor(0.1);
    assertEquals(
        forgotten ? command(Command.Op.FORGET, unknown, FIRST) : List.of(),
        commands.commands(
            machine,
            fixture.heartbeat(machine).withEndedTask(unknown, FIRST, EndReason.DONE).build()));
  }

  @Test
  void endedTaskIsNotForgottenBeforeItsEndIsDurable() {
    Attempt attempt = fixture.openAttempt(job, 0, machine);
    machine.outstandingStarts().clear();
    fixture.store.pauseWrites();
    fixture.ledger.close(attempt, true);
    var heartbeat =
        fixture
            .heartbeat(machine)
            .withEndedTask(attempt.task(), attempt.number(), EndReason.DONE)
            .build();
    assertEquals(List.of(), commands.commands(machine, heartbeat));
    fixture.store.resume();
    fixture.writer.sendNext();
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
    "stopped before it was reported,  STARTING,      0,  1, ",
    "stopped while running,           RUNNING,       5,  1, STOP",
    "stopped while checkpointing,     CHECKPOINTING, 5,  1, ",
    "checkpointing without grace,     CHECKPOINTING, 0,  1, STOP"
  })
  void openAttemptIsStartedOrStopped(
      String name, AttemptState state, Double stopGraceS, long epoch, Command.Op expected) {
    Attempt attempt = fixture.openAttempt(job, 0, machine);
    if (state.isReported()) {
      attempt.observe(state, fixture.now());
    }
    if (stopGraceS != null) {
      attempt.requestStop(stopGraceS, fixture.now());
    }
    double graceS = stopGraceS == null ? 0 : stopGraceS;
    assertEquals(
        expected == null
            ? List.of()
            : List.of(new Command(expected, attempt.task(), attempt.number(), graceS)),
        commands.commands(machine, fixture.heartbeat(machine).epoch(epoch).sequence(4).build()));
    assertEquals(expected == Command.Op.START ? 4 : -1, attempt.startHeartbeatSequence());
  }

  @Test
  void stopsOfMachineAreIndependentOfHeartbeat() {
    Attempt stopped = fixture.openAttempt(job, 0, machine);
    stopped.observe(AttemptState.RUNNING, fixture.now());
    stopped.requestStop(0, fixture.now());
    Attempt starting = fixture.openAttempt(job, 1, machine);
    assertEquals(
        command(Command.Op.STOP, stopped.task(), stopped.number()), commands.stops(machine));
    assertEquals(-1, starting.startHeartbeatSequence());
  }
}
