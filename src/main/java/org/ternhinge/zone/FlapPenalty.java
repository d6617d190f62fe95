package org.ternhinge.zone;

import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.MonotonicTime;

/**
 * Measures how often a zone was lost recently: each loss adds one, and the value decays
 * exponentially, as in route flap damping.
 *
 * @param value the penalty at that time
 * @param at the time of that value
 */
record FlapPenalty(double value, MonotonicTime at) {
  /** The penalty of a zone that was never lost. */
  static FlapPenalty none(MonotonicTime now) {
    return new FlapPenalty(0, now);
  }

  /** The decayed value. */
  double valueAt(MonotonicTime now, ZoneFailoverSettings.Flaps flaps) {
    double halfLives = Math.max(0, now.secondsSince(at)) / flaps.halfLifeS();
    return value * Math.pow(0.5, halfLives);
  }

  /** The penalty after another loss. */
  FlapPenalty increased(MonotonicTime now, ZoneFailoverSettings.Flaps flaps) {
    return new FlapPenalty(Math.min(flaps.max(), valueAt(now, flaps) + 1), now);
  }
}
