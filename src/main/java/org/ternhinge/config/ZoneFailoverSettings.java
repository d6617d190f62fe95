package org.ternhinge.config;

import java.util.List;
import java.util.Set;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Priority;

/**
 * Settings of zone failover: the block {@code zone_failover} of the tuning file. All times are in
 * seconds.
 *
 * @param detection when a zone counts as lost and when as healthy again
 * @param flapDamping how long a zone that is lost repeatedly is kept out of use
 * @param release how fast the tasks of a lost zone are moved to other zones
 * @param pace how fast new tasks are started in a recovered zone
 * @param tiers the order in which jobs are moved, the most important first; the last tier matches
 *     all remaining jobs
 */
public record ZoneFailoverSettings(
    Detection detection, FlapDamping flapDamping, Release release, Pace pace, List<Tier> tiers) {

  /** The settings that apply if the operators define none. */
  public static final ZoneFailoverSettings DEFAULT =
      new ZoneFailoverSettings(
          new Detection(0.3, 0.8, 0.1, 2, 4, 10, 10, 5),
          new FlapDamping(30, 1.25, 0.75, 2.5),
          new Release(15, 10),
          new Pace(0.1, 5, 4),
          List.of(new Tier("all", Set.of(), Set.of(), Set.of(), Set.of())));

  /**
   * Minimum time for which a zone must be healthy, relative to the time to detect silent workers.
   */
  private static final double SETTLE_FACTOR = 1.5;

  /**
   * Returns a copy whose settling time allows for the time to detect silent workers: a zone that
   * settles sooner would count as healthy before the next loss could be detected.
   *
   * @param overdueS seconds until a silent worker is detected
   */
  public ZoneFailoverSettings forHeartbeats(double overdueS) {
    double settleS = Math.max(detection.settleS(), SETTLE_FACTOR * overdueS);
    return new ZoneFailoverSettings(
        detection.withSettleS(settleS), flapDamping, release, pace, tiers);
  }

  /**
   * When a zone counts as lost and when as healthy again.
   *
   * @param suspectShare fraction of impaired machines from which no new tasks are placed in the
   *     zone
   * @param lostShare fraction from which the zone is lost
   * @param clearShare fraction below which the zone is healthy
   * @param minMachines number of machines below which a zone never counts as lost
   * @param confirmS how long that fraction must persist before the zone is lost
   * @param settleS how long a zone must be healthy before it is used again
   * @param suspectMaxS how long a zone that is only partly impaired remains suspect
   * @param correlationS maximum time between the onsets of impairments that have a common cause
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
   * Flap damping: penalties of zones that are lost repeatedly. Each loss adds 1 to the penalty.
   *
   * @param halfLifeS half-life of a penalty
   * @param suppressAt penalty above which a healthy zone is kept out of use
   * @param reuseAt penalty below which the zone is used again
   * @param max upper bound of the penalty
   */
  public record FlapDamping(double halfLifeS, double suppressAt, double reuseAt, double max) {}

  /**
   * The rate at which tasks are moved out of a lost zone.
   *
   * @param tierHoldS how long a tier may delay the next one at most
   * @param drainS time within which all displaced tasks are to be released
   */
  public record Release(double tierHoldS, double drainS) {}

  /**
   * The ramp-up of task starts in a recovered zone.
   *
   * @param startsPerMachine initial rate, in starts per second for each machine of the zone
   * @param stepS interval at which the rate doubles
   * @param steps number of doublings before the limit is lifted
   */
  public record Pace(double startsPerMachine, double stepS, int steps) {}

  /**
   * A class of jobs that are moved together. An empty set matches every value.
   *
   * @param name name in the operators' settings
   */
  public record Tier(
      String name,
      Set<String> teams,
      Set<String> classes,
      Set<JobKind> kinds,
      Set<Priority> priorities) {

    /** Whether a job belongs to this tier, provided that no earlier tier matches it. */
    public boolean matches(JobSpec job) {
      return permits(teams, job.team())
          && permits(classes, job.jobClass())
          && permits(kinds, job.kind())
          && permits(priorities, job.priority());
    }

    /** Whether this tier matches every job. */
    public boolean matchesAll() {
      return teams.isEmpty() && classes.isEmpty() && kinds.isEmpty() && priorities.isEmpty();
    }

    /** Whether this tier matches every job that another one matches. */
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
