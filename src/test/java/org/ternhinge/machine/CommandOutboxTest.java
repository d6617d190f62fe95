package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.Command;

/** Queueing of the commands to one worker. */
class CommandOutboxTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private final CommandOutbox outbox = new CommandOutbox();

  private static Command command(int index) {
    return new Command(
        Command.Op.START, new TaskId(new JobId("wk-1"), index), new AttemptNumber(1), 0);
  }

  @Test
  void commandsAreTakenInFifoOrder() {
    outbox.add(command(0));
    outbox.add(command(1));
    assertEquals(command(0), outbox.take());
    assertEquals(command(1), outbox.take());
    assertTrue(outbox.isEmpty());
  }

  @Test
  void clearDiscardsQueueButNotMessageInFlight() {
    outbox.add(command(0));
    outbox.markInFlight();
    outbox.clear();
    assertTrue(outbox.isEmpty());
    assertTrue(outbox.isInFlight());
    outbox.markCompleted();
    assertFalse(outbox.isInFlight());
  }

  @Test
  void pauseEndsAtGivenTime() {
    assertFalse(outbox.isPaused(NOW));
    outbox.pauseUntil(NOW.plusSeconds(2));
    assertTrue(outbox.isPaused(NOW.plusSeconds(1.9)));
    assertFalse(outbox.isPaused(NOW.plusSeconds(2)));
  }
}
