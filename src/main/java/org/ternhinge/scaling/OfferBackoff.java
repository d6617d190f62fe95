package org.ternhinge.scaling;

import java.util.HashMap;
import java.util.Map;
import org.ternhinge.model.MonotonicTime;

/**
 * Exponential back-off of offers for which the cloud lacked capacity. Guarded by the controller's
 * lock.
 */
final class OfferBackoff {
  /** Length of the first pause of an offer in seconds; it doubles with each further one. */
  private static final double FIRST_PAUSE_S = 5;

  private static final double MAX_PAUSE_S = 30;

  private record Pause(MonotonicTime until, double lengthS) {}

  private final Map<OfferKey, Pause> pauses = new HashMap<>();

  /** Pauses an offer for which the cloud lacked capacity. */
  void pause(OfferKey offer, MonotonicTime now) {
    Pause last = pauses.get(offer);
    double lengthS = last == null ? FIRST_PAUSE_S : Math.min(MAX_PAUSE_S, last.lengthS() * 2);
    pauses.put(offer, new Pause(now.plusSeconds(lengthS), lengthS));
  }

  /** Ends the back-off of an offer after the cloud had capacity for it. */
  void reset(OfferKey offer) {
    pauses.remove(offer);
  }

  /** Returns whether an offer is paused. */
  boolean isPaused(OfferKey offer, MonotonicTime now) {
    Pause pause = pauses.get(offer);
    return pause != null && !pause.until().isBefore(now);
  }
}
