package org.ternhinge.leadership;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.AsyncCalls;

/**
 * Defers actions until the ledger has been recovered. An action that throws does not affect the
 * others. Guarded by the controller's lock.
 */
final class RecoveryGate {
  private final List<Runnable> deferred = new ArrayList<>();
  private boolean open;

  /** Whether the ledger has been recovered. */
  boolean isOpen() {
    return open;
  }

  /** Runs an action when the gate opens or the leadership ends, whichever is first. */
  void defer(Runnable action) {
    deferred.add(action);
  }

  /** Opens the gate after the recovery and runs the deferred actions. */
  void open() {
    open = true;
    runDeferred();
  }

  /** Runs the deferred actions after the end of the leadership; the gate stays closed. */
  void onLeadershipEnded() {
    runDeferred();
  }

  private void runDeferred() {
    List<Runnable> actions = List.copyOf(deferred);
    deferred.clear();
    actions.forEach(AsyncCalls::runIsolated);
  }
}
