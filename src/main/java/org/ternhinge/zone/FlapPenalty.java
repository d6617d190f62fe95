package org.ternhinge.zone;

import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.MonotonicTime;

/**
 * A penalty for recent losses of a zone, as in route flap damping (RFC 2439): each loss adds one,
 * and the value decays exponentially.
 *
 * @param value the penalty at the time {@code at}
 * @param at the time to which the value refers
 */
record FlapPenalty(double value, MonotonicTime at) {
  /** Returns the penalty of a zone that was never lost. */
  static FlapPenalty none(MonotonicTime now) {
    return new FlapPenalty(0, now);
  }

  /** Returns the value after decay up to the given time. */
  double valueAt(MonotonicTime now, ZoneFailoverSettings.FlapDamping flaps) {
    double halfLives = Math.max(0, now.secondsSince(at)) / flaps.halfLifeS();
    return value * Math.pow(0.5, halfLives);
  }

  /** Returns the penalty after another loss, up to the configured maximum. */
  FlapPenalty increased(MonotonicTime now, ZoneFailoverSettings.FlapDamping flaps) {
    return new FlapPenalty(Math.min(flaps.max(), valueAt(now, flaps) + 1), now);
  }
}
