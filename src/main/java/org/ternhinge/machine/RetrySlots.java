package org.ternhinge.machine;

import java.util.TreeSet;
import org.ternhinge.model.MonotonicTime;

/**
 * Spreads the retries of all failing jobs over time. Each retry costs changes of the key-value
 * store, so however many jobs fail, their retries together have a bounded rate. Time is cut into
 * slots of one length, and each slot is given to one retry.
 */
final class RetrySlots {
  private final double slotS;
  private final MonotonicTime origin;
  private final TreeSet<Long> reserved = new TreeSet<>();

  /**
   * Creates slots that are all free.
   *
   * @param slotS length of a slot, in seconds
   */
  RetrySlots(double slotS, MonotonicTime origin) {
    this.slotS = slotS;
    this.origin = origin;
  }

  /** Reserves the first free slot that begins at a time or later, and returns its beginning. */
  MonotonicTime take(MonotonicTime earliest, MonotonicTime now) {
    reserved.headSet((long) Math.floor(now.secondsSince(origin) / slotS)).clear();
    long slot = (long) Math.ceil(earliest.secondsSince(origin) / slotS);
    while (!reserved.add(slot)) {
      slot++;
    }
    return origin.plusSeconds(slot * slotS);
  }
}
