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
 * @param healthySince since when hardly any machine has been impaired; null if that is not so
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
    SteadyTime healthySince,
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
  ZoneHealth next(
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
      case AVAILABLE -> measured.impairedSince == null ? measured : measured.toSuspect(now);
      case SUSPECT -> measured.nextFromSuspect(observation, confirmable, settings, now);
      case UNAVAILABLE -> {
        // A zone that fails again while it is out of use stays out of use for longer.
        boolean impairedAgain = impairedSince == null && measured.impairedSince != null;
        ZoneHealth current = impairedAgain ? measured.penalized(settings.flaps(), now) : measured;
        yield current.nextFromUnavailable(observation, settings, now);
      }
      case RECOVERING -> measured.nextFromRecovering(settings, now);
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
        startOf(enoughMachines && share >= detection.suspectShare(), impairedSince, now),
        startOf(enoughMachines && share >= detection.lostShare(), lostSince, now),
        startOf(share < detection.clearShare(), healthySince, now),
        penalty,
        suppressed,
        step,
        stillTolerated);
  }

  private static SteadyTime startOf(boolean holds, SteadyTime before, SteadyTime now) {
    if (!holds) {
      return null;
    }
    return before == null ? now : before;
  }

  private ZoneHealth toSuspect(SteadyTime now) {
    return transitionTo(ZoneState.SUSPECT, tolerated, now);
  }

  private ZoneHealth nextFromSuspect(
      ZoneObservation observation,
      boolean confirmable,
      ZoneFailoverSettings settings,
      SteadyTime now) {
    ZoneFailoverSettings.Detection detection = settings.detection();
    if (confirmable && hasLasted(lostSince, detection.confirmS(), now)) {
      return toUnavailable(settings.flaps(), now);
    }
    if (healthySince != null) {
      return transitionTo(ZoneState.AVAILABLE, tolerated, now);
    }
    boolean partlyImpaired = lostSince == null && hasLasted(since, detection.suspectMaxS(), now);
    // The machines that are impaired now are handled as single failures; the others take work
    // again.
    return partlyImpaired ? transitionTo(ZoneState.AVAILABLE, observation.impaired(), now) : this;
  }

  private ZoneHealth toUnavailable(ZoneFailoverSettings.Flaps flaps, SteadyTime now) {
    return transitionTo(ZoneState.UNAVAILABLE, 0, now).penalized(flaps, now);
  }

  private ZoneHealth penalized(ZoneFailoverSettings.Flaps flaps, SteadyTime now) {
    FlapPenalty more = penalty.increased(now, flaps);
    boolean suppress = suppressed || more.value() > flaps.suppressAt();
    return new ZoneHealth(
        state, since, impairedSince, lostSince, healthySince, more, suppress, step, tolerated);
  }

  private ZoneHealth nextFromUnavailable(
      ZoneObservation observation, ZoneFailoverSettings settings, SteadyTime now) {
    ZoneFailoverSettings.Flaps flaps = settings.flaps();
    boolean stillSuppressed = suppressed && penalty.valueAt(now, flaps) >= flaps.reuseAt();
    ZoneHealth current = stillSuppressed == suppressed ? this : withSuppressed(stillSuppressed);
    if (stillSuppressed || !hasLasted(healthySince, settings.detection().settleS(), now)) {
      return current;
    }
    // A zone without machines can't prove its recovery; it is tried again after a while.
    boolean hasNoMachines = observation.expected() == 0;
    boolean mayRecover = !hasNoMachines || hasLasted(since, settings.release().tierHoldS(), now);
    return mayRecover ? transitionTo(ZoneState.RECOVERING, 0, now) : current;
  }

  private ZoneHealth nextFromRecovering(ZoneFailoverSettings settings, SteadyTime now) {
    if (impairedSince != null) {
      return toSuspect(now);
    }
    int reached = (int) (now.secondsSince(since) / settings.pace().stepS());
    if (reached >= settings.pace().steps()) {
      return transitionTo(ZoneState.AVAILABLE, tolerated, now);
    }
    return reached == step ? this : withStep(reached);
  }

  private static boolean hasLasted(SteadyTime from, double seconds, SteadyTime now) {
    return from != null && now.secondsSince(from) >= seconds;
  }

  /** The zone in another state, in which it begins unsuppressed and at the first step. */
  private ZoneHealth transitionTo(ZoneState other, int otherTolerated, SteadyTime now) {
    return new ZoneHealth(
        other, now, impairedSince, lostSince, healthySince, penalty, false, 0, otherTolerated);
  }

  private ZoneHealth withStep(int other) {
    return new ZoneHealth(
        state, since, impairedSince, lostSince, healthySince, penalty, suppressed, other, tolerated);
  }

  private ZoneHealth withSuppressed(boolean other) {
    return new ZoneHealth(
        state, since, impairedSince, lostSince, healthySince, penalty, other, step, tolerated);
  }
}
