package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.MonotonicTime;

/**
 * The hang state of a machine. While it hangs, it executes nothing, arriving messages are queued in
 * order, and its lease keeps running.
 */
final class MachineHang {
  private final SimClock clock;
  private final List<Runnable> deferredActions = new ArrayList<>();
  private MonotonicTime until;
  private MonotonicTime since;
  private double completedHangsS;

  MachineHang(SimClock clock) {
    this.clock = clock;
  }

  boolean isActive() {
    return until != null;
  }

  /** Begins a hang, or extends one in progress. */
  void begin(double seconds) {
    MonotonicTime end = clock.now().plusSeconds(seconds);
    if (until == null) {
      since = clock.now();
      until = end;
    } else {
      until = until.max(end);
    }
  }

  /** Whether a hang is in progress and its duration has elapsed. */
  boolean hasElapsed() {
    return until != null && !clock.now().isBefore(until);
  }

  /** Ends the hang. */
  void end() {
    completedHangsS += clock.now().secondsSince(since);
    until = null;
  }

  /** Defers an action until the end of the hang. */
  void defer(Runnable action) {
    deferredActions.add(action);
  }

  /** Runs the deferred actions in their order of arrival. */
  void runDeferred() {
    List<Runnable> deferred = List.copyOf(deferredActions);
    deferredActions.clear();
    deferred.forEach(Runnable::run);
  }

  private double totalHangSeconds() {
    return completedHangsS + (isActive() ? clock.now().secondsSince(since) : 0);
  }

  /** Runs an action after the machine has been executing for the given time, excluding hangs. */
  void runAfterActiveTime(double seconds, Runnable action) {
    double hungBeforeS = totalHangSeconds();
    clock.schedule(
        seconds,
        () -> {
          double remainingS = totalHangSeconds() - hungBeforeS;
          if (isActive()) {
            defer(() -> runAfterActiveTime(remainingS, action));
          } else if (remainingS > 0) {
            runAfterActiveTime(remainingS, action);
          } else {
            action.run();
          }
        });
  }
}
