package org.ternhinge.zone;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/** Publishes the present {@link ZoneSnapshot}: replaced as a whole, read by any thread. */
final class ZoneSnapshotReference {
  private final AtomicReference<ZoneSnapshot> reference = new AtomicReference<>(ZoneSnapshot.EMPTY);

  /** The present value. */
  ZoneSnapshot read() {
    return reference.get();
  }

  /** Replaces the value by one computed from it. */
  ZoneSnapshot update(UnaryOperator<ZoneSnapshot> change) {
    return reference.updateAndGet(change);
  }
}
