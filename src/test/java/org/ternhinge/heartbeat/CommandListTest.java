package org.ternhinge.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ternhinge.attempt.CommandDispatcher;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.JobId;
import org.ternhinge.model.TaskId;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.Command;

/** Tests the order and the maximum number of the commands in one heartbeat response. */
class CommandListTest {
  private final LeadershipFixture fixture = new LeadershipFixture();
  private final Attempt attempt =
      fixture.openAttempt(
          fixture.addJob(SubmissionJson.smallJob("wk-1", "batch", 1)),
          0,
          fixture.addMachine("n-1"));
  private final CommandList commands = new CommandList();

  private static TaskId task(int index) {
    return new TaskId(new JobId("wk-9"), index);
  }

  private static AttemptNumber number(int value) {
    return new AttemptNumber(value);
  }

  @Test
  void commandsAreOrderedStopsForgetsStarts() {
    commands.addStart(attempt);
    commands.addForget(task(0), number(1));
    commands.addStop(task(1), number(2), 3);
    commands.addForget(task(2), number(3));
    commands.addStop(task(3), number(4), 0);
    assertEquals(
        List.of(
            new Command(Command.Op.STOP, task(1), number(2), 3),
            new Command(Command.Op.STOP, task(3), number(4), 0),
            new Command(Command.Op.FORGET, task(0), number(1), 0),
            new Command(Command.Op.FORGET, task(2), number(3), 0),
            new Command(Command.Op.START, attempt.task(), attempt.number(), 0)),
        commands.commands());
  }

  @Test
  void excessCommandsAreTruncatedAtEnd() {
    commands.addStart(attempt);
    for (int i = 1; i < CommandDispatcher.MAX_COMMANDS_PER_MESSAGE; i++) {
      assertFalse(commands.isFull());
      commands.addForget(task(i), number(1));
    }
    assertTrue(commands.isFull());
    commands.addStop(task(0), number(1), 0);
    List<Command> carried = commands.commands();
    assertEquals(CommandDispatcher.MAX_COMMANDS_PER_MESSAGE, carried.size());
    assertEquals(Command.Op.STOP, carried.get(0).op());
    assertEquals(Command.Op.FORGET, carried.get(carried.size() - 1).op());
  }
}
