package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.ternhinge.model.MonotonicTime;

/** Retries of all jobs at a bounded rate. */
class RetrySlotsTest {
  private static final MonotonicTime ORIGIN = new MonotonicTime(0);
  private final RetrySlots slots = new RetrySlots(0.5, ORIGIN);

  private static MonotonicTime at(double seconds) {
    return ORIGIN.plusSeconds(seconds);
  }

  @Test
  void aRetryGetsTheFirstSlotAtItsTimeOrLater() {
    assertEquals(at(2), slots.take(at(2), ORIGIN));
    assertEquals(at(4), slots.take(at(3.6), ORIGIN));
  }

  @Test
  void aSlotIsGivenToOneRetryOnly() {
    assertEquals(at(2), slots.take(at(2), ORIGIN));
    assertEquals(at(2.5), slots.take(at(2), ORIGIN));
    assertEquals(at(3), slots.take(at(2), at(1)));
  }
}
