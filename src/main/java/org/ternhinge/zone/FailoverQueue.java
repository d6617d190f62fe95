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
 * The tasks displaced from lost zones: their attempts have certainly ended and they have no new
 * ones. Tasks are held until their tier may be released, and are then released to the planner at a
 * bounded rate; the planner decides where they are placed.
 *
 * <p>The hold time is bounded: a job of tier k is released no later than k times {@code
 * tier_hold_s} after it was displaced, and a job without capacity delays lower tiers no longer than
 * the hold time of its own tier.
 */
final class FailoverQueue {
  /**
   * A job with displaced tasks.
   *
   * @param zone the lost zone
   * @param pinned whether the job is restricted to that zone
   * @param held tasks that must not be placed yet
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

    private boolean isResolved() {
      return held.isEmpty() && released.isEmpty();
    }
  }

  /** Tasks of one job that change state together. */
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
  private ImmutableTokenBucket bucket;

  /** The largest number of held tasks since there last were none. */
  private int peakHeld;

  /**
   * Creates an empty queue.
   *
   * @param minRate minimum release rate, in tasks per second
   */
  FailoverQueue(
      ZoneFailoverSettings.Release settings,
      FailoverOrder order,
      double minRate,
      MonotonicTime now) {
    this.settings = settings;
    this.order = order;
    this.minRate = minRate;
    this.bucket = ImmutableTokenBucket.withOneToken(now);
  }

  /** Whether there are no displaced tasks. */
  boolean isEmpty() {
    return displaced.isEmpty();
  }

  /**
   * Adds a task that lost its attempt with a zone; a task that was already released is not held
   * again.
   */
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

  // ---- removal ----------------------------------------------------------------------------------

  /** Removes the tasks that are no longer displaced, and returns those with a new attempt. */
  List<JobTasks> removeResolved(DisplacedWork work) {
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
        job.isResolved() ? displaced.minus(job.spec.id()) : displaced.plus(job.spec.id(), job);
  }

  // ---- release ----------------------------------------------------------------------------------

  /**
   * Releases the tasks of eligible tiers, as far as the rate permits.
   *
   * @param firstOpenTier the most important tier with attempts still open in lost zones
   */
  List<JobTasks> release(DisplacedWork work, int firstOpenTier, MonotonicTime now) {
    bucket = bucket.refilled(rate(), now);
    List<DisplacedJob> jobs = new ArrayList<>(displaced.values());
    jobs.sort(RELEASE_ORDER);
    int blockingTier = Math.min(firstOpenTier, firstBlockingTier(jobs, work, now));
    List<JobTasks> released = new ArrayList<>();
    for (DisplacedJob job : jobs) {
      boolean eligible = job.pinned || job.tier <= blockingTier || isDue(job, now);
      if (eligible && !job.held.isEmpty() && bucket.hasToken()) {
        released.add(release(job));
      }
    }
    return released;
  }

  /** The rate, in tasks per second, that drains the queue within the configured time. */
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
      if (!job.spec.isGang() && !bucket.hasToken()) {
        break;
      }
      chosen = chosen.plus(task);
      bucket = bucket.minus(1);
    }
    displaced =
        displaced.plus(
            job.spec.id(), job.with(job.held.minusAll(chosen), job.released.plusAll(chosen)));
    return new JobTasks(job, chosen);
  }

  // ---- queries ----------------------------------------------------------------------------------

  /** Returns the held tasks by job. */
  PMap<JobId, PSet<Integer>> held() {
    PMap<JobId, PSet<Integer>> held = HashTreePMap.empty();
    for (DisplacedJob job : displaced.values()) {
      if (!job.held.isEmpty()) {
        held = held.plus(job.spec.id(), job.held);
      }
    }
    return held;
  }

  /** Returns the held tasks of a displaced job. */
  PSet<Integer> held(JobId job) {
    return displaced.get(job).held;
  }

  /** Returns all jobs with displaced tasks. */
  List<DisplacedJob> jobs() {
    return List.copyOf(displaced.values());
  }
}
