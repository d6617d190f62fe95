package org.ternhinge.config;

import java.util.List;
import java.util.Set;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Priority;

/**
 * The operators' settings of zone failover: the block {@code zone_failover} of the tuning file. All
 * times are in seconds.
 *
 * @param detection when a zone counts as lost and as well again
 * @param flapDamping how repeated losses keep a zone out of use
 * @param release how fast the work of a lost zone moves
 * @param pace how fast new work comes to a zone that has returned
 * @param tiers the order in which work moves, the most important first; the last tier takes the
 *     rest
 */
public record ZoneFailoverSettings(
    Detection detection, FlapDamping flapDamping, Release release, Pace pace, List<Tier> tiers) {

  /** The settings that hold where the operators name none. */
  public static final ZoneFailoverSettings DEFAULT =
      new ZoneFailoverSettings(
          new Detection(0.3, 0.8, 0.1, 2, 4, 10, 10, 5),
          new FlapDamping(30, 1.25, 0.75, 2.5),
          new Release(15, 10),
          new Pace(0.1, 5, 4),
          List.of(new Tier("all", Set.of(), Set.of(), Set.of(), Set.of())));

  /** Shortest time for which a zone has to be well, relative to the detection of silent workers. */
  private static final double SETTLE_FACTOR = 1.5;

  /**
   * The same for workers whose silence is detected after some time: a zone that settles sooner
   * would count as well before the next loss could be detected.
   *
   * @param overdueS seconds until a silent worker is detected
   */
  public ZoneFailoverSettings forHeartbeats(double overdueS) {
    double settleS = Math.max(detection.settleS(), SETTLE_FACTOR * overdueS);
    return new ZoneFailoverSettings(
        detection.withSettleS(settleS), flapDamping, release, pace, tiers);
  }

  /**
   * When a zone counts as lost and as well again.
   *
   * @param suspectShare share of impaired machines from which nothing new is placed
   * @param lostShare share from which the zone is lost
   * @param clearShare share below which it is well
   * @param minMachines number of machines below which a zone never counts as lost
   * @param confirmS how long the share has to last before the zone is lost
   * @param settleS how long a zone has to be well before it returns
   * @param suspectMaxS how long a zone is suspected that is not lost as a whole
   * @param correlationS longest time between the onsets of impairments with a common cause
   */
  public record Detection(
      double suspectShare,
      double lostShare,
      double clearShare,
      int minMachines,
      double confirmS,
      double settleS,
      double suspectMaxS,
      double correlationS) {
    private Detection withSettleS(double seconds) {
      return new Detection(
          suspectShare,
          lostShare,
          clearShare,
          minMachines,
          confirmS,
          seconds,
          suspectMaxS,
          correlationS);
    }
  }

  /**
   * Penalties of zones that are lost repeatedly; each loss adds one.
   *
   * @param halfLifeS time in which a penalty halves
   * @param suppressAt penalty above which a zone that is well stays out of use
   * @param reuseAt penalty below which it is used again
   * @param max the highest penalty
   */
  public record FlapDamping(double halfLifeS, double suppressAt, double reuseAt, double max) {}

  /**
   * The speed of moves out of a lost zone.
   *
   * @param tierHoldS how long a tier may delay the next one
   * @param drainS time in which all displaced tasks are to be released
   */
  public record Release(double tierHoldS, double drainS) {}

  /**
   * The speed of starts in a zone that has returned.
   *
   * @param startsPerMachine starts a second at first, for each machine of the zone
   * @param stepS time between two doublings of that rate
   * @param steps doublings until the zone is available without a limit
   */
  public record Pace(double startsPerMachine, double stepS, int steps) {}

  /**
   * Work that moves together. An empty set permits everything.
   *
   * @param name the name that the operators gave it
   */
  public record Tier(
      String name,
      Set<String> teams,
      Set<String> classes,
      Set<JobKind> kinds,
      Set<Priority> priorities) {

    /** Whether a job belongs to this tier, unless an earlier one takes it. */
    public boolean matches(JobSpec job) {
      return permits(teams, job.team())
          && permits(classes, job.jobClass())
          && permits(kinds, job.kind())
          && permits(priorities, job.priority());
    }

    /** Whether it takes every job. */
    public boolean matchesAll() {
      return teams.isEmpty() && classes.isEmpty() && kinds.isEmpty() && priorities.isEmpty();
    }

    /** Whether every job that another tier matches is matched by this one too. */
    boolean covers(Tier other) {
      return covers(teams, other.teams)
          && covers(classes, other.classes)
          && covers(kinds, other.kinds)
          && covers(priorities, other.priorities);
    }

    private static <T> boolean permits(Set<T> allowed, T value) {
      return allowed.isEmpty() || allowed.contains(value);
    }

    private static <T> boolean covers(Set<T> wide, Set<T> narrow) {
      return wide.isEmpty() || (!narrow.isEmpty() && wide.containsAll(narrow));
    }
  }
}
