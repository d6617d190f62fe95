package org.ternhinge.zone;

import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.SteadyTime;

/**
 * The state machine of one zone, as an immutable value: each observation gives the next one.
 *
 * @param state what the zone is taken to be
 * @param since when it became so
 * @param impairedSince since when its share of impaired machines has been suspicious, or null
 * @param lostSince since when that share has been one of a lost zone, or null
 * @param wellSince since when hardly a machine has been impaired, or null
 * @param penalty how often it was lost lately
 * @param suppressed whether it is kept out of use for that
 * @param step how many times the pace of its return has doubled
 * @param tolerated impaired machines that are known to be single failures
 */
public record ZoneHealth(
    ZoneState state,
    SteadyTime since,
    SteadyTime impairedSince,
    SteadyTime lostSince,
    SteadyTime wellSince,
    FlapPenalty penalty,
    boolean suppressed,
    int step,
    int tolerated) {

  /** A zone of which nothing is known yet. */
  public static ZoneHealth available(SteadyTime now) {
    return new ZoneHealth(
        ZoneState.AVAILABLE, now, null, null, null, FlapPenalty.none(now), false, 0, 0);
  }

  /**
   * The zone after an observation.
   *
   * @param confirmable whether what is seen may be the zone's loss, and not that of our own links
   */
  ZoneHealth next(
      ZoneObservation seen, boolean confirmable, ZoneFailoverSettings settings, SteadyTime now) {
    if (!seen.isConclusive()) {
      // A new leader: what it has not heard of yet is neither lost nor well.
      return this;
    }
    ZoneHealth measured = measured(seen, settings.detection(), now);
    return switch (state) {
      case AVAILABLE -> measured.impairedSince == null ? measured : measured.suspected(now);
      case SUSPECT -> measured.afterSuspicion(seen, confirmable, settings, now);
      case UNAVAILABLE -> {
        // A zone that fails again while it is out of use keeps itself out of use for longer.
        boolean again = impairedSince == null && measured.impairedSince != null;
        ZoneHealth current = again ? measured.penalized(settings.flaps(), now) : measured;
        yield current.afterLoss(seen, settings, now);
      }
      case RECOVERING -> measured.afterReturn(settings, now);
    };
  }

  /** Takes in the share of impaired machines, and since when it has been as it is. */
  private ZoneHealth measured(
      ZoneObservation seen, ZoneFailoverSettings.Detection detection, SteadyTime now) {
    int stillTolerated = Math.min(tolerated, seen.impaired());
    double share = seen.share(stillTolerated);
    boolean enough = seen.expected() - stillTolerated >= detection.minMachines();
    return new ZoneHealth(
        state,
        since,
        startOf(enough && share >= detection.suspectShare(), impairedSince, now),
        startOf(enough && share >= detection.lostShare(), lostSince, now),
        startOf(share < detection.clearShare(), wellSince, now),
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

  private ZoneHealth suspected(SteadyTime now) {
    return to(ZoneState.SUSPECT, tolerated, now);
  }

  private ZoneHealth afterSuspicion(
      ZoneObservation seen, boolean confirmable, ZoneFailoverSettings settings, SteadyTime now) {
    ZoneFailoverSettings.Detection detection = settings.detection();
    if (confirmable && lasts(lostSince, detection.confirmS(), now)) {
      return lost(settings.flaps(), now);
    }
    if (wellSince != null) {
      return to(ZoneState.AVAILABLE, tolerated, now);
    }
    boolean partOfIt = lostSince == null && lasts(since, detection.suspectMaxS(), now);
    // What is impaired now is left to the rules for single machines; the rest takes work again.
    return partOfIt ? to(ZoneState.AVAILABLE, seen.impaired(), now) : this;
  }

  private ZoneHealth lost(ZoneFailoverSettings.Flaps flaps, SteadyTime now) {
    return to(ZoneState.UNAVAILABLE, 0, now).penalized(flaps, now);
  }

  private ZoneHealth penalized(ZoneFailoverSettings.Flaps flaps, SteadyTime now) {
    FlapPenalty more = penalty.increased(now, flaps);
    boolean suppress = suppressed || more.value() > flaps.suppressAt();
    return new ZoneHealth(
        state, since, impairedSince, lostSince, wellSince, more, suppress, step, tolerated);
  }

  private ZoneHealth afterLoss(
      ZoneObservation seen, ZoneFailoverSettings settings, SteadyTime now) {
    ZoneFailoverSettings.Flaps flaps = settings.flaps();
    boolean still = suppressed && penalty.valueAt(now, flaps) >= flaps.reuseAt();
    ZoneHealth current = still == suppressed ? this : withSuppressed(still);
    if (still || !lasts(wellSince, settings.detection().settleS(), now)) {
      return current;
    }
    // A zone without machines shows nothing; after a while it may be tried again, at a pace.
    boolean nothingSeen = seen.expected() == 0;
    boolean tryAgain = !nothingSeen || lasts(since, settings.release().tierHoldS(), now);
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
