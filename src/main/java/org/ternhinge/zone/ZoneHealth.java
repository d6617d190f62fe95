package org.ternhinge.zone;

import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.MonotonicTime;

/**
 * The state machine of one zone, as an immutable value; each observation yields the next value.
 *
 * @param state state of the zone
 * @param since time of its last change of state
 * @param impairedSince time since which the share of impaired machines has been at or above the
 *     suspicion threshold; null otherwise, also if the zone has too few machines
 * @param lostSince time since which that share has been at or above the threshold of a lost zone;
 *     null otherwise
 * @param healthySince time since which that share has been below the threshold of a healthy zone;
 *     null otherwise
 * @param penalty penalty for recent losses
 * @param suppressed whether recovery is suppressed because of the penalty
 * @param step number of times that the start rate has doubled during recovery
 * @param tolerated number of impaired machines that are treated as independent failures
 */
record ZoneHealth(
    ZoneState state,
    MonotonicTime since,
    MonotonicTime impairedSince,
    MonotonicTime lostSince,
    MonotonicTime healthySince,
    FlapPenalty penalty,
    boolean suppressed,
    int step,
    int tolerated) {

  /** Returns the initial health of a zone. */
  static ZoneHealth available(MonotonicTime now) {
    return new ZoneHealth(
        ZoneState.AVAILABLE, now, null, null, null, FlapPenalty.none(now), false, 0, 0);
  }

  /**
   * Returns the health of the zone after an observation.
   *
   * @param confirmable whether the observation may confirm the zone's loss, rather than indicate a
   *     network failure of the leader
   */
  ZoneHealth next(
      ZoneObservation observation,
      boolean confirmable,
      ZoneFailoverSettings settings,
      MonotonicTime now) {
    if (!observation.isConclusive()) {
      // A new leader does not judge a zone by machines that have not reported yet.
      return this;
    }
    ZoneHealth measured = measured(observation, settings.detection(), now);
    return switch (state) {
      case AVAILABLE -> measured.impairedSince == null ? measured : measured.toSuspect(now);
      case SUSPECT -> measured.nextFromSuspect(observation, confirmable, settings, now);
      case UNAVAILABLE -> {
        // A zone that fails again while unavailable is penalized again and recovers later.
        boolean impairedAgain = impairedSince == null && measured.impairedSince != null;
        ZoneHealth current =
            impairedAgain ? measured.penalized(settings.flapDamping(), now) : measured;
        yield current.nextFromUnavailable(observation, settings, now);
      }
      case RECOVERING -> measured.nextFromRecovering(settings, now);
    };
  }

  /** Returns the same state with updated threshold times and tolerated machines. */
  private ZoneHealth measured(
      ZoneObservation observation, ZoneFailoverSettings.Detection detection, MonotonicTime now) {
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

  private static MonotonicTime startOf(boolean holds, MonotonicTime before, MonotonicTime now) {
    if (!holds) {
      return null;
    }
    return before == null ? now : before;
  }

  private ZoneHealth toSuspect(MonotonicTime now) {
    return transitionTo(ZoneState.SUSPECT, tolerated, now);
  }

  private ZoneHealth nextFromSuspect(
      ZoneObservation observation,
      boolean confirmable,
      ZoneFailoverSettings settings,
      MonotonicTime now) {
    ZoneFailoverSettings.Detection detection = settings.detection();
    if (confirmable && hasLasted(lostSince, detection.confirmS(), now)) {
      return toUnavailable(settings.flapDamping(), now);
    }
    if (healthySince != null) {
      return transitionTo(ZoneState.AVAILABLE, tolerated, now);
    }
    boolean partlyImpaired = lostSince == null && hasLasted(since, detection.suspectMaxS(), now);
    // The machines that are impaired now count as independent failures; the others accept work
    // again.
    return partlyImpaired ? transitionTo(ZoneState.AVAILABLE, observation.impaired(), now) : this;
  }

  private ZoneHealth toUnavailable(ZoneFailoverSettings.FlapDamping flaps, MonotonicTime now) {
    return transitionTo(ZoneState.UNAVAILABLE, 0, now).penalized(flaps, now);
  }

  private ZoneHealth penalized(ZoneFailoverSettings.FlapDamping flaps, MonotonicTime now) {
    FlapPenalty more = penalty.increased(now, flaps);
    boolean suppress = suppressed || more.value() > flaps.suppressAt();
    return new ZoneHealth(
        state, since, impairedSince, lostSince, healthySince, more, suppress, step, tolerated);
  }

  private ZoneHealth nextFromUnavailable(
      ZoneObservation observation, ZoneFailoverSettings settings, MonotonicTime now) {
    ZoneFailoverSettings.FlapDamping flaps = settings.flapDamping();
    boolean stillSuppressed = suppressed && penalty.valueAt(now, flaps) >= flaps.reuseAt();
    ZoneHealth current = stillSuppressed == suppressed ? this : withSuppressed(stillSuppressed);
    if (stillSuppressed || !hasLasted(healthySince, settings.detection().settleS(), now)) {
      return current;
    }
    // A zone without machines can't show its recovery; it is retried after the hold time of a tier.
    boolean hasNoMachines = observation.expected() == 0;
    boolean mayRecover = !hasNoMachines || hasLasted(since, settings.release().tierHoldS(), now);
    return mayRecover ? transitionTo(ZoneState.RECOVERING, 0, now) : current;
  }

  private ZoneHealth nextFromRecovering(ZoneFailoverSettings settings, MonotonicTime now) {
    if (impairedSince != null) {
      return toSuspect(now);
    }
    int reached = (int) (now.secondsSince(since) / settings.pace().stepS());
    if (reached >= settings.pace().steps()) {
      return transitionTo(ZoneState.AVAILABLE, tolerated, now);
    }
    return reached == step ? this : withStep(reached);
  }

  private static boolean hasLasted(MonotonicTime from, double seconds, MonotonicTime now) {
    return from != null && now.secondsSince(from) >= seconds;
  }

  /** Returns the zone in another state, not suppressed and at the first step. */
  private ZoneHealth transitionTo(ZoneState other, int otherTolerated, MonotonicTime now) {
    return new ZoneHealth(
        other, now, impairedSince, lostSince, healthySince, penalty, false, 0, otherTolerated);
  }

  private ZoneHealth withStep(int other) {
    return new ZoneHealth(
        state,
        since,
        impairedSince,
        lostSince,
        healthySince,
        penalty,
        suppressed,
        other,
        tolerated);
  }

  private ZoneHealth withSuppressed(boolean other) {
    return new ZoneHealth(
        state, since, impairedSince, lostSince, healthySince, penalty, other, step, tolerated);
  }
}
