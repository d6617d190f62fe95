package org.ternhinge.zone;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.TreePSet;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.JobSpec;

/**
 * The tasks that were displaced from lost zones: their attempts have certainly ended and they have
 * no new ones. They are held until their tier's turn comes and then released at a bounded rate;
 * where they are placed is left to the planner.
 *
 * <p>Every hold ends: a job of tier k is released no later than k times {@code tier_hold_s} after
 * it was displaced, and a job that finds no room delays lower tiers only for as long as its own
 * tier's turn lasts.
 */
final class FailoverQueue {
  /**
   * A job with displaced tasks.
   *
   * @param zone the lost zone
   * @param pinned whether the job may run in that zone only
   * @param held tasks that are not to be placed yet
   * @param released tasks that may be placed
   * @param since time at which the first of them was displaced
   */
  record DisplacedJob(
      JobSpec spec,
      int tier,
      String zone,
      boolean pinned,
      PSet<Integer> held,
      PSet<Integer> released,
      MonotonicTime since) {
    private DisplacedJob with(PSet<Integer> nowHeld, PSet<Integer> nowReleased) {
      return new DisplacedJob(spec, tier, zone, pinned, nowHeld, nowReleased, since);
    }

    private boolean isSettled() {
      return held.isEmpty() && released.isEmpty();
    }
  }

  /** Tasks of one job that take a step together. */
  record JobTasks(DisplacedJob job, PSet<Integer> tasks) {}

  private static final Comparator<DisplacedJob> RELEASE_ORDER =
      Comparator.comparingInt(DisplacedJob::tier)
          .thenComparing(job -> job.spec().priority())
          .thenComparing(DisplacedJob::since)
          .thenComparing(job -> job.spec().id());

  private final ZoneFailoverSettings.Release settings;
  private final FailoverOrder order;
  private final double minRate;
  private PMap<JobId, DisplacedJob> displaced = HashTreePMap.empty();
  private RateBudget budget;

  /** The largest number of held tasks since the queue was last without any. */
  private int peakHeld;

  /**
   * Creates an empty queue.
   *
   * @param minRate lowest rate at which tasks are released, a second
   */
  FailoverQueue(
      ZoneFailoverSettings.Release settings,
      FailoverOrder order,
      double minRate,
      MonotonicTime now) {
    this.settings = settings;
    this.order = order;
    this.minRate = minRate;
    this.budget = RateBudget.starting(now);
  }

  /** Whether no task is displaced. */
  boolean isEmpty() {
    return displaced.isEmpty();
  }

  /** Adds a task that has lost its attempt with a zone; one that is released is not held again. */
  void displace(JobSpec spec, int task, String zone, MonotonicTime now) {
    DisplacedJob before = displaced.get(spec.id());
    if (before == null) {
      boolean pinned = spec.zone().equals(Optional.of(zone));
      before =
          new DisplacedJob(
              spec, order.tierOf(spec), zone, pinned, TreePSet.empty(), TreePSet.empty(), now);
    }
    if (!before.released.contains(task)) {
      displaced = displaced.plus(spec.id(), before.with(before.held.plus(task), before.released));
    }
  }

  // ---- settlement -------------------------------------------------------------------------------

  /** Removes the tasks that are displaced no longer, and returns those with a new attempt. */
  List<JobTasks> settle(DisplacedWork work) {
    List<JobTasks> placed = new ArrayList<>();
    for (DisplacedJob job : displaced.values()) {
      PSet<Integer> replaced = TreePSet.empty();
      PSet<Integer> held = job.held;
      PSet<Integer> released = job.released;
      for (Integer task : job.held.plusAll(job.released)) {
        DisplacedWork.TaskState state = work.state(job.spec.id(), task);
        if (state != DisplacedWork.TaskState.PENDING) {
          replaced = state == DisplacedWork.TaskState.PLACED ? replaced.plus(task) : replaced;
          held = held.minus(task);
          released = released.minus(task);
        }
      }
      if (!replaced.isEmpty()) {
        placed.add(new JobTasks(job, replaced));
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
   * Releases the tasks whose turn has come, as far as the rate permits.
   *
   * @param firstOpenTier the most important tier of which attempts in lost zones are still open
   */
  List<JobTasks> release(DisplacedWork work, int firstOpenTier, MonotonicTime now) {
    budget = budget.refilled(rate(), now);
    List<DisplacedJob> jobs = new ArrayList<>(displaced.values());
    jobs.sort(RELEASE_ORDER);
    int blockingTier = Math.min(firstOpenTier, firstBlockingTier(jobs, work, now));
    List<JobTasks> released = new ArrayList<>();
    for (DisplacedJob job : jobs) {
      boolean itsTurn = job.pinned || job.tier <= blockingTier || isDue(job, now);
      if (itsTurn && !job.held.isEmpty() && budget.allows()) {
        released.add(release(job));
      }
    }
    return released;
  }

  /** The rate, in tasks a second, that empties the queue in the time that the settings ask for. */
  private double rate() {
    int tasks = 0;
    for (DisplacedJob job : displaced.values()) {
      tasks += job.held.size();
    }
    peakHeld = tasks == 0 ? 0 : Math.max(peakHeld, tasks);
    return Math.max(minRate, peakHeld / settings.drainS());
  }

  private int firstBlockingTier(List<DisplacedJob> sorted, DisplacedWork work, MonotonicTime now) {
    for (DisplacedJob job : sorted) {
      if (blocks(job, work, now)) {
        return job.tier;
      }
    }
    return order.size();
  }

  private boolean blocks(DisplacedJob job, DisplacedWork work, MonotonicTime now) {
    double waitedS = now.secondsSince(job.since);
    return !job.pinned
        && work.isPlaceable(job.spec.id())
        && waitedS < (job.tier + 1) * settings.tierHoldS();
  }

  private boolean isDue(DisplacedJob job, MonotonicTime now) {
    return now.secondsSince(job.since) >= job.tier * settings.tierHoldS();
  }

  private JobTasks release(DisplacedJob job) {
    PSet<Integer> chosen = TreePSet.empty();
    for (Integer task : job.held) {
      if (!job.spec.isGang() && !budget.allows()) {
        break;
      }
      chosen = chosen.plus(task);
      budget = budget.minus(1);
    }
    displaced =
        displaced.plus(
            job.spec.id(), job.with(job.held.minusAll(chosen), job.released.plusAll(chosen)));
    return new JobTasks(job, chosen);
  }

  // ---- queries ----------------------------------------------------------------------------------

  /** The held tasks by job. */
  PMap<JobId, PSet<Integer>> held() {
    PMap<JobId, PSet<Integer>> held = HashTreePMap.empty();
    for (DisplacedJob job : displaced.values()) {
      if (!job.held.isEmpty()) {
        held = held.plus(job.spec.id(), job.held);
      }
    }
    return held;
  }

  /** The held tasks of a displaced job. */
  PSet<Integer> held(JobId job) {
    return displaced.get(job).held;
  }

  /** All jobs with displaced tasks. */
  List<DisplacedJob> jobs() {
    return List.copyOf(displaced.values());
  }
}
