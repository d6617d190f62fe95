package org.ternhinge.machine;

import java.util.TreeSet;
import org.ternhinge.model.MonotonicTime;

/**
 * Limits the rate of retries across all failing jobs. Each retry costs changes of the key-value
 * store, so the total retry rate has to be bounded regardless of the number of failing jobs. Time
 * is divided into slots of equal length, and each slot is assigned to one retry.
 */
final class RetrySlots {
  private final double slotS;
  private final MonotonicTime origin;
  private final TreeSet<Long> reserved = new TreeSet<>();

  /**
   * Creates an instance without reserved slots.
   *
   * @param slotS length of a slot in seconds
   */
  RetrySlots(double slotS, MonotonicTime origin) {
    this.slotS = slotS;
    this.origin = origin;
  }

  /** Reserves the first free slot that starts at or after a time, and returns its start. */
  MonotonicTime reserve(MonotonicTime earliest, MonotonicTime now) {
    reserved.headSet((long) Math.floor(now.secondsSince(origin) / slotS)).clear();
    long slot = (long) Math.ceil(earliest.secondsSince(origin) / slotS);
    while (!reserved.add(slot)) {
      slot++;
    }
    return origin.plusSeconds(slot * slotS);
  }
}
