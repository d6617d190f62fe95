package org.ternhinge.machine;

import java.util.ArrayDeque;
import java.util.Deque;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.Command;

/**
 * Commands that wait to be sent directly to one worker, one message at a time. Guarded by the
 * controller's lock.
 */
public final class CommandOutbox {
  private final Deque<Command> waiting = new ArrayDeque<>();
  private boolean inFlight;
  private SteadyTime pausedUntil;

  /** Appends a command. */
  public void add(Command command) {
    waiting.add(command);
  }

  /** Whether no command waits. */
  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Takes the command that has waited longest; there has to be one. */
  public Command take() {
    return waiting.remove();
  }

  /** Drops all commands that wait. */
  public void clear() {
    waiting.clear();
  }

  /** A message is sent. */
  public void markInFlight() {
    inFlight = true;
  }

  /** The message in flight was answered or given up. */
  public void markLanded() {
    inFlight = false;
  }

  /** Whether a message is in flight, which the next one has to wait for. */
  public boolean isInFlight() {
    return inFlight;
  }

  /** A message has failed: nothing is sent directly before this time. */
  public void pauseUntil(SteadyTime time) {
    pausedUntil = time;
  }

  /** Whether nothing may be sent directly since a message has failed lately. */
  public boolean isPaused(SteadyTime now) {
    return pausedUntil != null && now.isBefore(pausedUntil);
  }
}
