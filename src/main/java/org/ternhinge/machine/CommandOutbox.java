package org.ternhinge.machine;

import java.util.ArrayDeque;
import java.util.Deque;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.Command;

/**
 * The commands that wait to be sent directly to one worker, first in, first out. At most one
 * message is in flight at a time. Guarded by the controller's lock.
 */
public final class CommandOutbox {
  private final Deque<Command> waiting = new ArrayDeque<>();
  private boolean inFlight;
  private MonotonicTime pausedUntil;

  /** Appends a command. */
  public void add(Command command) {
    waiting.add(command);
  }

  /** Whether no command is waiting. */
  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Removes and returns the oldest command; the outbox must not be empty. */
  public Command take() {
    return waiting.remove();
  }

  /** Drops all waiting commands. */
  public void clear() {
    waiting.clear();
  }

  /** A message is sent; no other one may be sent until it has landed. */
  public void markInFlight() {
    inFlight = true;
  }

  /** The message in flight was answered, or its answer is no longer awaited. */
  public void markLanded() {
    inFlight = false;
  }

  /** Whether a message is in flight. */
  public boolean isInFlight() {
    return inFlight;
  }

  /** A message has failed: nothing is sent directly before this time. */
  public void pauseUntil(MonotonicTime time) {
    pausedUntil = time;
  }

  /** Whether direct messages are paused since one has failed lately. */
  public boolean isPaused(MonotonicTime now) {
    return pausedUntil != null && now.isBefore(pausedUntil);
  }
}
