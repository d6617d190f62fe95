package org.ternhinge.zone;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pcollections.PSet;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.TaskRanges;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.zone.ZoneEvent.WorkStep;

/**
 * Creates the log events of displaced tasks: one event for all tasks of a job that change state
 * together, and a periodic one for each job that is still waiting. Not thread-safe; the owner
 * synchronizes access.
 */
final class DisplacementLog {
  /** Seconds between two events about a job that is still waiting. */
  private static final double DELAY_INTERVAL_S = 30;

  /** Tasks of a job displaced since the last call of {@link #displaced}. */
  private static final class NewlyDisplaced {
    private final JobSpec job;
    private final String zone;
    private final BitSet tasks = new BitSet();
    private final BitSet attempts = new BitSet();

    NewlyDisplaced(JobSpec job, String zone) {
      this.job = job;
      this.zone = zone;
    }

    void add(int task, long attempt) {
      tasks.set(task);
      if (attempt > 0 && attempt < Integer.MAX_VALUE) {
        attempts.set((int) attempt);
      }
    }

    ZoneEvent event(String tier) {
      return new ZoneEvent.WorkChanged(
          WorkStep.DISPLACED,
          job.id().value(),
          TaskRanges.encode(tasks, 0, tasks.length()),
          TaskRanges.encode(attempts, 0, attempts.length()),
          tier,
          zone,
          0,
          DisplacementReason.ZONE_LOST.label());
    }
  }

  private final FailoverOrder order;
  private final Map<JobId, NewlyDisplaced> newlyDisplaced = new LinkedHashMap<>();
  private final Map<JobId, MonotonicTime> delayLoggedAt = new HashMap<>();

  DisplacementLog(FailoverOrder order) {
    this.order = order;
  }

  /** Adds a displaced task, to be reported by the next call of {@link #displaced}. */
  void add(JobSpec job, int task, long attempt, String zone) {
    newlyDisplaced
        .computeIfAbsent(job.id(), id -> new NewlyDisplaced(job, zone))
        .add(task, attempt);
  }

  /** Whether no task was added since the last call of {@link #displaced}. */
  boolean isEmpty() {
    return newlyDisplaced.isEmpty();
  }

  /** Returns the events of the tasks added since the last call. */
  List<ZoneEvent> displaced() {
    List<ZoneEvent> events = new ArrayList<>(newlyDisplaced.size());
    for (NewlyDisplaced displaced : newlyDisplaced.values()) {
      events.add(displaced.event(order.name(order.tierOf(displaced.job))));
    }
    newlyDisplaced.clear();
    return events;
  }

  /** Returns the event of tasks that were released to the planner. */
  ZoneEvent released(FailoverQueue.JobTasks tasks, MonotonicTime now) {
    return event(WorkStep.RELEASED, tasks, DisplacementReason.TURN, now);
  }

  /** Returns the event of tasks that have new attempts. */
  ZoneEvent moved(FailoverQueue.JobTasks tasks, MonotonicTime now) {
    return event(WorkStep.MOVED, tasks, DisplacementReason.PLACED, now);
  }

  /** Returns an event for each job that has waited for another interval. */
  List<ZoneEvent> delayed(
      List<FailoverQueue.DisplacedJob> jobs, DisplacedWork work, MonotonicTime now) {
    List<ZoneEvent> events = new ArrayList<>();
    for (FailoverQueue.DisplacedJob job : jobs) {
      MonotonicTime last = delayLoggedAt.getOrDefault(job.spec().id(), job.since());
      if (now.secondsSince(last) >= DELAY_INTERVAL_S) {
        delayLoggedAt.put(job.spec().id(), now);
        FailoverQueue.JobTasks all =
            new FailoverQueue.JobTasks(job, job.held().plusAll(job.released()));
        events.add(event(WorkStep.DELAYED, all, delayReason(job, work), now));
      }
    }
    return events;
  }

  /** Discards the log times of all jobs but those given, which are still displaced. */
  void retain(List<FailoverQueue.DisplacedJob> jobs) {
    Set<JobId> ids = new HashSet<>();
    jobs.forEach(job -> ids.add(job.spec().id()));
    delayLoggedAt.keySet().retainAll(ids);
  }

  private static DisplacementReason delayReason(
      FailoverQueue.DisplacedJob job, DisplacedWork work) {
    if (job.pinned()) {
      return DisplacementReason.PINNED_TO_ZONE;
    }
    if (!work.isPlaceable(job.spec().id())) {
      return DisplacementReason.BACKOFF_OR_DEPENDENCY;
    }
    return job.held().isEmpty()
        ? DisplacementReason.NO_ROOM_OR_LIMIT
        : DisplacementReason.HIGHER_TIER_FIRST;
  }

  private ZoneEvent event(
      WorkStep step, FailoverQueue.JobTasks tasks, DisplacementReason reason, MonotonicTime now) {
    FailoverQueue.DisplacedJob job = tasks.job();
    return new ZoneEvent.WorkChanged(
        step,
        job.spec().id().value(),
        ranges(tasks.tasks()),
        "",
        order.name(job.tier()),
        job.zone(),
        now.secondsSince(job.since()),
        reason.label());
  }

  private static String ranges(PSet<Integer> tasks) {
    BitSet set = new BitSet();
    tasks.forEach(set::set);
    return TaskRanges.encode(set, 0, set.length());
  }
}
