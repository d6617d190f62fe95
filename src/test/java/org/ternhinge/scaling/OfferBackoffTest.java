package org.ternhinge.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.MonotonicTime;

/** Pauses of offers for which the cloud lacked capacity. */
class OfferBackoffTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private static final OfferKey OFFER = new OfferKey("small", "east", true);
  private final OfferBackoff backoff = new OfferBackoff();

  @ParameterizedTest(name = "{0} times")
  @CsvSource({"1, 5", "2, 10", "3, 20", "4, 30", "9, 30"})
  void pauseDoublesUpToMaximum(int times, double seconds) {
    for (int i = 0; i < times; i++) {
      backoff.pause(OFFER, NOW);
    }
    assertTrue(backoff.isPaused(OFFER, NOW.plusSeconds(seconds)));
    assertFalse(backoff.isPaused(OFFER, NOW.plusSeconds(seconds + 0.1)));
  }

  @Test
  void resetOfferStartsWithFirstPause() {
    backoff.pause(OFFER, NOW);
    backoff.pause(OFFER, NOW);
    backoff.reset(OFFER);
    assertFalse(backoff.isPaused(OFFER, NOW));
    backoff.pause(OFFER, NOW);
    assertFalse(backoff.isPaused(OFFER, NOW.plusSeconds(5.1)));
  }

  @Test
  void otherOffersAreNotPaused() {
    backoff.pause(OFFER, NOW);
    assertFalse(backoff.isPaused(new OfferKey("small", "east", false), NOW));
    assertFalse(backoff.isPaused(new OfferKey("small", "west", true), NOW));
    assertFalse(backoff.isPaused(new OfferKey("large", "east", true), NOW));
  }

  @Test
  void offerIsFormattedByAttributes() {
    assertEquals("small east spot", OFFER.toString());
    assertEquals("small east", new OfferKey("small", "east", false).toString());
  }
}
