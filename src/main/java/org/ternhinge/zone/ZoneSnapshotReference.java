package org.ternhinge.zone;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/** Publishes the current {@link ZoneSnapshot} atomically; any thread may read it. */
final class ZoneSnapshotReference {
  private final AtomicReference<ZoneSnapshot> reference = new AtomicReference<>(ZoneSnapshot.EMPTY);

  /** Returns the current value. */
  ZoneSnapshot read() {
    return reference.get();
  }

  /** Replaces the value atomically by one computed from it, and returns the new value. */
  ZoneSnapshot update(UnaryOperator<ZoneSnapshot> change) {
    return reference.updateAndGet(change);
  }
}
