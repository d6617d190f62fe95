package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.SteadyTime;

/**
 * Whether a machine hangs. While it does, it executes nothing, and what arrives waits in order; its
 * lease runs on.
 */
final class MachineHang {
  private final SimClock clock;
  private final List<Runnable> waiting = new ArrayList<>();
  private SteadyTime until;
  private SteadyTime from;
  private double earlierHangsS;

  MachineHang(SimClock clock) {
    this.clock = clock;
  }

  boolean isActive() {
    return until != null;
  }

  /** Stops executing for so long; a hang that is under way may become longer. */
  void begin(double seconds) {
    SteadyTime end = clock.now().plusSeconds(seconds);
    if (until == null) {
      from = clock.now();
      until = end;
    } else {
      until = until.max(end);
    }
  }

  /** Whether a hang was under way and its time is over now. */
  boolean hasElapsed() {
    return until != null && !clock.now().isBefore(until);
  }

  /** Ends the hang. */
  void end() {
    earlierHangsS += clock.now().secondsSince(from);
    until = null;
  }

  /** Defers an action until the end of the hang. */
  void defer(Runnable action) {
    waiting.add(action);
  }

  /** Runs the deferred actions in their order of arrival. */
  void runDeferred() {
    List<Runnable> deferred = List.copyOf(waiting);
    waiting.clear();
    deferred.forEach(Runnable::run);
  }

  private double hungSeconds() {
    return earlierHangsS + (isActive() ? clock.now().secondsSince(from) : 0);
  }

  /** Runs an action after so many seconds in which the machine did execute. */
  void runAfterActiveTime(double seconds, Runnable action) {
    double before = hungSeconds();
    clock.after(
        seconds,
        () -> {
          double lost = hungSeconds() - before;
          if (isActive()) {
            defer(() -> runAfterActiveTime(lost, action));
          } else if (lost > 0) {
            runAfterActiveTime(lost, action);
          } else {
            action.run();
          }
        });
  }
}
