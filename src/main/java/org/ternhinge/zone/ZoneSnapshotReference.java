package org.ternhinge.zone;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/** Where the present {@link ZoneSnapshot} hangs: swapped whole, read by any thread. */
public final class ZoneSnapshotReference {
  private final AtomicReference<ZoneSnapshot> present = new AtomicReference<>(ZoneSnapshot.EMPTY);

  /** The present value. */
  public ZoneSnapshot read() {
    return present.get();
  }

  /** Replaces the value by one made of it. */
  ZoneSnapshot update(UnaryOperator<ZoneSnapshot> change) {
    return present.updateAndGet(change);
  }
}
