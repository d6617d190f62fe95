package org.ternhinge.zone;

import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.SteadyTime;

/**
 * The state machine of one zone, as an immutable value: each observation gives the next one.
 *
 * @param state state of the zone
 * @param since time of its last change of state
 * @param impairedSince since when the share of impaired machines has been suspicious; null if it is
 *     not
 * @param lostSince since when that share has been one of a lost zone; null if it is not
 * @param wellSince since when hardly any machine has been impaired; null if that is not so
 * @param penalty flap penalty: how often it was lost recently
 * @param suppressed whether it stays out of use because of its penalty
 * @param step number of times that the pace of its return has doubled
 * @param tolerated number of impaired machines that are treated as single failures
 */
record ZoneHealth(
    ZoneState state,
    SteadyTime since,
    SteadyTime impairedSince,
    SteadyTime lostSince,
    SteadyTime wellSince,
    FlapPenalty penalty,
    boolean suppressed,
    int step,
    int tolerated) {

  /** The initial health of a zone. */
  static ZoneHealth available(SteadyTime now) {
    return new ZoneHealth(
        ZoneState.AVAILABLE, now, null, null, null, FlapPenalty.none(now), false, 0, 0);
  }

  /**
   * The zone after an observation.
   *
   * @param confirmable whether the observation may show the zone's loss rather than the loss of the
   *     leader's own links
   */
  ZoneHealth after(
      ZoneObservation observation,
      boolean confirmable,
      ZoneFailoverSettings settings,
      SteadyTime now) {
    if (!observation.isConclusive()) {
      // A new leader draws no conclusion from machines that have not reported yet.
      return this;
    }
    ZoneHealth measured = measured(observation, settings.detection(), now);
    return switch (state) {
      case AVAILABLE -> measured.impairedSince == null ? measured : measured.suspected(now);
      case SUSPECT -> measured.afterSuspicion(observation, confirmable, settings, now);
      case UNAVAILABLE -> {
        // A zone that fails again while it is out of use stays out of use for longer.
        boolean again = impairedSince == null && measured.impairedSince != null;
        ZoneHealth current = again ? measured.penalized(settings.flapDamping(), now) : measured;
        yield current.afterLoss(observation, settings, now);
      }
      case RECOVERING -> measured.afterReturn(settings, now);
    };
  }

  /** The same state with the times since which the share of impaired machines is what it is. */
  private ZoneHealth measured(
      ZoneObservation observation, ZoneFailoverSettings.Detection detection, SteadyTime now) {
    int stillTolerated = Math.min(tolerated, observation.impaired());
    double share = observation.share(stillTolerated);
    boolean enoughMachines = observation.expected() - stillTolerated >= detection.minMachines();
    return new ZoneHealth(
        state,
        since,
        sinceWhen(enoughMachines && share >= detection.suspectShare(), impairedSince, now),
        sinceWhen(enoughMachines && share >= detection.lostShare(), lostSince, now),
        sinceWhen(share < detection.clearShare(), wellSince, now),
        penalty,
        suppressed,
        step,
        stillTolerated);
  }

  private static SteadyTime sinceWhen(boolean holds, SteadyTime before, SteadyTime now) {
    if (!holds) {
      return null;
    }
    return before == null ? now : before;
  }

  private ZoneHealth suspected(SteadyTime now) {
    return to(ZoneState.SUSPECT, tolerated, now);
  }

  private ZoneHealth afterSuspicion(
      ZoneObservation observation,
      boolean confirmable,
      ZoneFailoverSettings settings,
      SteadyTime now) {
    ZoneFailoverSettings.Detection detection = settings.detection();
    if (confirmable && lasts(lostSince, detection.confirmS(), now)) {
      return lost(settings.flapDamping(), now);
    }
    if (wellSince != null) {
      return to(ZoneState.AVAILABLE, tolerated, now);
    }
    boolean partlyImpaired = lostSince == null && lasts(since, detection.suspectMaxS(), now);
    // The machines that are impaired now are handled as single failures; the others take work
    // again.
    return partlyImpaired ? to(ZoneState.AVAILABLE, observation.impaired(), now) : this;
  }

  private ZoneHealth lost(ZoneFailoverSettings.FlapDamping flaps, SteadyTime now) {
    return to(ZoneState.UNAVAILABLE, 0, now).penalized(flaps, now);
  }

  private ZoneHealth penalized(ZoneFailoverSettings.FlapDamping flaps, SteadyTime now) {
    FlapPenalty more = penalty.increased(now, flaps);
    boolean suppress = suppressed || more.value() > flaps.suppressAt();
    return new ZoneHealth(
        state, since, impairedSince, lostSince, wellSince, more, suppress, step, tolerated);
  }

  private ZoneHealth afterLoss(
      ZoneObservation observation, ZoneFailoverSettings settings, SteadyTime now) {
    ZoneFailoverSettings.FlapDamping flaps = settings.flapDamping();
    boolean stillSuppressed = suppressed && penalty.valueAt(now, flaps) >= flaps.reuseAt();
    ZoneHealth current = stillSuppressed == suppressed ? this : withSuppressed(stillSuppressed);
    if (stillSuppressed || !lasts(wellSince, settings.detection().settleS(), now)) {
      return current;
    }
    // A zone without machines can't prove its recovery; it is tried again after a while.
    boolean hasNoMachines = observation.expected() == 0;
    boolean tryAgain = !hasNoMachines || lasts(since, settings.release().tierHoldS(), now);
    return tryAgain ? to(ZoneState.RECOVERING, 0, now) : current;
  }

  private ZoneHealth afterReturn(ZoneFailoverSettings settings, SteadyTime now) {
    if (impairedSince != null) {
      return suspected(now);
    }
    int reached = (int) (now.secondsSince(since) / settings.pace().stepS());
    if (reached >= settings.pace().steps()) {
      return to(ZoneState.AVAILABLE, tolerated, now);
    }
    return reached == step ? this : withStep(reached);
  }

  private static boolean lasts(SteadyTime from, double seconds, SteadyTime now) {
    return from != null && now.secondsSince(from) >= seconds;
  }

  /** The zone in another state, in which it begins unsuppressed and at the first step. */
  private ZoneHealth to(ZoneState other, int otherTolerated, SteadyTime now) {
    return new ZoneHealth(
        other, now, impairedSince, lostSince, wellSince, penalty, false, 0, otherTolerated);
  }

  private ZoneHealth withStep(int other) {
    return new ZoneHealth(
        state, since, impairedSince, lostSince, wellSince, penalty, suppressed, other, tolerated);
  }

  private ZoneHealth withSuppressed(boolean other) {
    return new ZoneHealth(
        state, since, impairedSince, lostSince, wellSince, penalty, other, step, tolerated);
  }
}
