package org.ternhinge.zone;

import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.SteadyTime;

/**
 * How often a zone was lost lately: each loss adds one, and time halves it, as in route flap
 * damping.
 *
 * @param value the penalty at that time
 * @param at when it had this value
 */
public record FlapPenalty(double value, SteadyTime at) {
  /** The penalty of a zone that was never lost. */
  static FlapPenalty none(SteadyTime now) {
    return new FlapPenalty(0, now);
  }

  /** What is left of it. */
  public double valueAt(SteadyTime now, ZoneFailoverSettings.Flaps flaps) {
    double halfLives = Math.max(0, now.secondsSince(at)) / flaps.halfLifeS();
    return value * Math.pow(0.5, halfLives);
  }

  /** The zone was lost once more. */
  FlapPenalty increased(SteadyTime now, ZoneFailoverSettings.Flaps flaps) {
    return new FlapPenalty(Math.min(flaps.max(), valueAt(now, flaps) + 1), now);
  }
}
