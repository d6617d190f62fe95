package org.ternhinge.zone;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.TreePSet;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.JobId;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.JobSpec;

/**
 * What was displaced from lost zones: tasks whose attempts are proved over and that have no new
 * one. They are held until their tier's turn comes and then released at a bounded rate; the planner
 * decides the rest.
 *
 * <p>No hold is without an end: a job of tier k is released k times {@code tier_hold_s} after it
 * was displaced at the latest, and a job that finds no room keeps lower tiers waiting only for as
 * long as its own tier's turn lasts.
 */
final class FailoverQueue {
  /**
   * A job that has displaced tasks.
   *
   * @param zone the lost zone
   * @param pinned whether the job may run in that zone only
   * @param held tasks that are not to be placed yet
   * @param released tasks that may be placed
   * @param since when the first of them was displaced
   */
  record DisplacedJob(
      JobSpec spec,
      int tier,
      String zone,
      boolean pinned,
      PSet<Integer> held,
      PSet<Integer> released,
      SteadyTime since) {
    private DisplacedJob with(PSet<Integer> nowHeld, PSet<Integer> nowReleased) {
      return new DisplacedJob(spec, tier, zone, pinned, nowHeld, nowReleased, since);
    }

    private boolean isSettled() {
      return held.isEmpty() && released.isEmpty();
    }
  }

  /** Tasks of a job that were dealt with together. */
  record Tasks(DisplacedJob job, PSet<Integer> tasks) {}

  private static final Comparator<DisplacedJob> RELEASE_ORDER =
      Comparator.comparingInt(DisplacedJob::tier)
          .thenComparing(job -> job.spec().priority())
          .thenComparing(DisplacedJob::since)
          .thenComparing(job -> job.spec().id());

  private final ZoneFailoverSettings.Release settings;
  private final FailoverOrder order;
  private final double leastRate;
  private PMap<JobId, DisplacedJob> displaced = HashTreePMap.empty();
  private RateBudget budget;

  /** The most tasks that were held at once since none was. */
  private int mostHeld;

  /**
   * Creates an empty queue.
   *
   * @param leastRate tasks a second that may be released at least
   */
  FailoverQueue(
      ZoneFailoverSettings.Release settings,
      FailoverOrder order,
      double leastRate,
      SteadyTime now) {
    this.settings = settings;
    this.order = order;
    this.leastRate = leastRate;
    this.budget = RateBudget.starting(now);
  }

  boolean isEmpty() {
    return displaced.isEmpty();
  }

  /** A task has lost its attempt with a zone. */
  void displace(JobSpec spec, int task, String zone, SteadyTime now) {
    DisplacedJob before = displaced.get(spec.id());
    if (before == null) {
      boolean pinned = zone.equals(spec.zone());
      before =
          new DisplacedJob(
              spec, order.tierOf(spec), zone, pinned, TreePSet.empty(), TreePSet.empty(), now);
    }
    if (!before.released.contains(task)) {
      displaced = displaced.plus(spec.id(), before.with(before.held.plus(task), before.released));
    }
  }

  // ---- what has become of it --------------------------------------------------------------------

  /** Drops what is displaced no longer, and says which tasks have a new attempt. */
  List<Tasks> settle(DisplacedWork work) {
    List<Tasks> placed = new ArrayList<>();
    for (DisplacedJob job : displaced.values()) {
      PSet<Integer> found = TreePSet.empty();
      PSet<Integer> held = job.held;
      PSet<Integer> released = job.released;
      for (Integer task : job.held.plusAll(job.released)) {
        DisplacedWork.Fate fate = work.fate(job.spec.id(), task);
        if (fate != DisplacedWork.Fate.WAITING) {
          found = fate == DisplacedWork.Fate.PLACED ? found.plus(task) : found;
          held = held.minus(task);
          released = released.minus(task);
        }
      }
      if (!found.isEmpty()) {
        placed.add(new Tasks(job, found));
      }
      replace(job.with(held, released));
    }
    return placed;
  }

  private void replace(DisplacedJob job) {
    displaced =
        job.isSettled() ? displaced.minus(job.spec.id()) : displaced.plus(job.spec.id(), job);
  }

  // ---- release ----------------------------------------------------------------------------------

  /**
   * Releases what may be placed from now on.
   *
   * @param lowestOpenTier the most important tier of which attempts in lost zones are still open
   */
  List<Tasks> release(DisplacedWork work, int lowestOpenTier, SteadyTime now) {
    budget = budget.filled(rate(), now);
    List<DisplacedJob> jobs = new ArrayList<>(displaced.values());
    jobs.sort(RELEASE_ORDER);
    int blockingTier = Math.min(lowestOpenTier, firstBlockingTier(jobs, work, now));
    List<Tasks> out = new ArrayList<>();
    for (DisplacedJob job : jobs) {
      boolean itsTurn = job.pinned || job.tier <= blockingTier || isDue(job, now);
      if (itsTurn && !job.held.isEmpty() && budget.allows()) {
        out.add(release(job));
      }
    }
    return out;
  }

  /** So many tasks a second empty the queue in time. */
  private double rate() {
    int tasks = 0;
    for (DisplacedJob job : displaced.values()) {
      tasks += job.held.size();
    }
    mostHeld = tasks == 0 ? 0 : Math.max(mostHeld, tasks);
    return Math.max(leastRate, mostHeld / settings.drainS());
  }

  private int firstBlockingTier(List<DisplacedJob> sorted, DisplacedWork work, SteadyTime now) {
    for (DisplacedJob job : sorted) {
      if (blocks(job, work, now)) {
        return job.tier;
      }
    }
    return order.size();
  }

  private boolean blocks(DisplacedJob job, DisplacedWork work, SteadyTime now) {
    double waitedS = now.secondsSince(job.since);
    return !job.pinned
        && work.isPlaceable(job.spec.id())
        && waitedS < (job.tier + 1) * settings.tierHoldS();
  }

  private boolean isDue(DisplacedJob job, SteadyTime now) {
    return now.secondsSince(job.since) >= job.tier * settings.tierHoldS();
  }

  private Tasks release(DisplacedJob job) {
    PSet<Integer> chosen = TreePSet.empty();
    for (Integer task : job.held) {
      if (!job.spec.isGang() && !budget.allows()) {
        break;
      }
      chosen = chosen.plus(task);
      budget = budget.less(1);
    }
    displaced =
        displaced.plus(
            job.spec.id(), job.with(job.held.minusAll(chosen), job.released.plusAll(chosen)));
    return new Tasks(job, chosen);
  }

  // ---- for readers ------------------------------------------------------------------------------

  /** Tasks that are not to be placed yet, by job. */
  PMap<JobId, PSet<Integer>> held() {
    PMap<JobId, PSet<Integer>> held = HashTreePMap.empty();
    for (DisplacedJob job : displaced.values()) {
      if (!job.held.isEmpty()) {
        held = held.plus(job.spec.id(), job.held);
      }
    }
    return held;
  }

  /** The tasks of an displaced job that are not to be placed yet. */
  PSet<Integer> held(JobId job) {
    return displaced.get(job).held;
  }

  /** Everything that is displaced. */
  List<DisplacedJob> jobs() {
    return List.copyOf(displaced.values());
  }
}
