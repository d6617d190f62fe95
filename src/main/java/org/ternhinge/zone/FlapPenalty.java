package org.ternhinge.zone;

import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.SteadyTime;

/**
 * Measures how often a zone was lost recently: each loss adds one, and the value decays
 * exponentially, as in route flap damping.
 *
 * @param value the penalty at that time
 * @param at the time of that value
 */
record FlapPenalty(double value, SteadyTime at) {
  /** The penalty of a zone that was never lost. */
  static FlapPenalty none(SteadyTime now) {
    return new FlapPenalty(0, now);
  }

  /** The decayed value. */
  double valueAt(SteadyTime now, ZoneFailoverSettings.FlapDamping flaps) {
    double halfLives = Math.max(0, now.secondsSince(at)) / flaps.halfLifeS();
    return value * Math.pow(0.5, halfLives);
  }

  /** The penalty after another loss. */
  FlapPenalty increased(SteadyTime now, ZoneFailoverSettings.FlapDamping flaps) {
    return new FlapPenalty(Math.min(flaps.max(), valueAt(now, flaps) + 1), now);
  }
}
