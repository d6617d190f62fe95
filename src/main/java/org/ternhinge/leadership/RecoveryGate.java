package org.ternhinge.leadership;

import java.util.ArrayList;
import java.util.List;

/** Delays requests until the ledger has been recovered. Guarded by the controller's lock. */
final class RecoveryGate {
  private final List<Runnable> delayed = new ArrayList<>();
  private boolean open;

  /** Whether the ledger has been recovered. */
  boolean isOpen() {
    return open;
  }

  /** Runs an action when the gate opens, or when the leadership ends before that. */
  void runLater(Runnable action) {
    delayed.add(action);
  }

  /** The ledger has been recovered: runs the delayed actions. */
  void open() {
    open = true;
    runDelayed();
  }

  /** The leadership is over: runs the delayed actions, which find it ended. */
  void abandon() {
    runDelayed();
  }

  private void runDelayed() {
    List<Runnable> actions = List.copyOf(delayed);
    delayed.clear();
    actions.forEach(Runnable::run);
  }
}
