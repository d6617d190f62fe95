package org.ternhinge.machine;

import java.util.ArrayDeque;
import java.util.Deque;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.Command;

/**
 * FIFO queue of the commands to be sent directly to one worker. At most one message is in flight at
 * a time. Guarded by the controller's lock.
 */
public final class CommandOutbox {
  private final Deque<Command> queue = new ArrayDeque<>();
  private boolean inFlight;
  private MonotonicTime pausedUntil;

  /** Appends a command to the queue. */
  public void add(Command command) {
    queue.add(command);
  }

  public boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Removes and returns the oldest command. The outbox must not be empty. */
  public Command take() {
    return queue.remove();
  }

  /** Discards all queued commands; a message in flight is not affected. */
  public void clear() {
    queue.clear();
  }

  /** Records that a message was sent. No other one may be sent until it is completed. */
  public void markInFlight() {
    inFlight = true;
  }

  /** Records that the message in flight was answered or that its answer is no longer awaited. */
  public void markCompleted() {
    inFlight = false;
  }

  public boolean isInFlight() {
    return inFlight;
  }

  /** Pauses direct messages until the given time after one has failed. */
  public void pauseUntil(MonotonicTime time) {
    pausedUntil = time;
  }

  /** Returns whether direct messages are paused after a recent failure. */
  public boolean isPaused(MonotonicTime now) {
    return pausedUntil != null && now.isBefore(pausedUntil);
  }
}
