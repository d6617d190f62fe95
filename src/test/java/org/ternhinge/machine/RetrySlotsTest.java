package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.ternhinge.model.MonotonicTime;

/** Rate limit of the retries of all jobs. */
class RetrySlotsTest {
  private static final MonotonicTime ORIGIN = new MonotonicTime(0);
  private final RetrySlots slots = new RetrySlots(0.5, ORIGIN);

  private static MonotonicTime at(double seconds) {
    return ORIGIN.plusSeconds(seconds);
  }

  @Test
  void retryGetsFirstSlotAtOrAfterItsTime() {
    assertEquals(at(2), slots.reserve(at(2), ORIGIN));
    assertEquals(at(4), slots.reserve(at(3.6), ORIGIN));
  }

  @Test
  void slotIsReservedForOneRetry() {
    assertEquals(at(2), slots.reserve(at(2), ORIGIN));
    assertEquals(at(2.5), slots.reserve(at(2), ORIGIN));
    assertEquals(at(3), slots.reserve(at(2), at(1)));
  }
}
