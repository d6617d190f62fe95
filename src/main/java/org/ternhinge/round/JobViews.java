package org.ternhinge.round;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Team;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.JobSpec;

/**
 * The jobs with tasks to place, as the planner is shown them. Guarded by the controller's lock.
 *
 * <p>A job that waits for others costs nothing here and holds no part of its team's guarantee.
 */
final class JobViews {
  private static final double MILLIS_PER_S = 1000.0;

  private static final Comparator<Job> BY_READY_TIME =
      Comparator.comparingLong(Job::readyMillis).thenComparing(job -> job.spec().id());

  private final Settings settings;
  private final Clock clock;
  private final Ledger ledger;
  private final TaskFailures failures;

  JobViews(Settings settings, Clock clock, Ledger ledger, TaskFailures failures) {
    this.settings = settings;
    this.clock = clock;
    this.ledger = ledger;
    this.failures = failures;
  }

  /**
   * All jobs with tasks to place, in the order in which they could first start.
   *
   * @param reserved for how many tasks of each job room is kept
   */
  List<Snapshot.JobView> list(SteadyTime now, Map<JobId, Integer> reserved) {
    Map<String, Resources> asked = new HashMap<>();
    List<Snapshot.JobView> views = new ArrayList<>();
    for (Job job : unfinished()) {
      JobSpec spec = job.planned();
      Team team = settings.teams().get(spec.team());
      if (team == null) {
        continue;
      }
      Resources sum = asked.merge(spec.team(), spec.need().times(spec.tasks()), Resources::plus);
      if (job.waitingCount() > 0) {
        views.add(view(job, isGuaranteed(sum, team), reserved.getOrDefault(spec.id(), 0), now));
      }
    }
    return views;
  }

  /** The jobs that got their first tasks after too long a wait and have none done yet. */
  Set<JobId> startedLate(SteadyTime now) {
    Set<JobId> jobs = new HashSet<>();
    for (Job job : ledger.jobs()) {
      if (!job.spec().isService() && !job.cancelled() && startedLate(job, now)) {
        jobs.add(job.spec().id());
      }
    }
    return jobs;
  }

  private boolean startedLate(Job job, SteadyTime now) {
    JobRanking.Progress progress = progress(job);
    if (progress.open() == 0 || progress.done() > 0 || progress.waitedS() <= JobRanking.LATE_S) {
      return false;
    }
    double openForS = 0;
    for (Attempt attempt : job.openAttempts()) {
      openForS = Math.max(openForS, now.secondsSince(attempt.openedAt()));
    }
    return progress.waitedS() - openForS > JobRanking.LATE_S;
  }

  private List<Job> unfinished() {
    List<Job> jobs = new ArrayList<>();
    for (Job job : ledger.jobs()) {
      if (!job.hasUnmetDependencies() && !job.cancelled() && !job.over()) {
        jobs.add(job);
      }
    }
    jobs.sort(BY_READY_TIME);
    return jobs;
  }

  /** Whether all that a team has asked for so far fits into its guarantee. */
  private static boolean isGuaranteed(Resources asked, Team team) {
    return asked.cpus() <= team.cpus() && (team.gpus() == 0 || asked.gpus() <= team.gpus());
  }

  private Snapshot.JobView view(Job job, boolean guaranteed, int reservedTasks, SteadyTime now) {
    JobSpec spec = job.planned();
    JobRanking.Progress progress = progress(job);
    int most = failures.jobBackoff().triesSingleTask(job, now) ? 1 : Integer.MAX_VALUE;
    return new Snapshot.JobView(
        spec,
        JobRanking.key(spec, progress),
        progress.waitedS(),
        guaranteed,
        progress.late(),
        pending(job, most),
        Math.min(most, progress.waiting()),
        openByZone(job),
        failures.jobBackoff().isBlocked(job, now),
        failures.jobBackoff().avoidedBy(job, now),
        reservedTasks);
  }

  private JobRanking.Progress progress(Job job) {
    double waitedS = Math.max(0, clock.wallMillis() - job.readyMillis()) / MILLIS_PER_S;
    return new JobRanking.Progress(
        job.waitingCount(), job.doneCount(), job.openAttempts().size(), waitedS);
  }

  /**
   * The first tasks without an open attempt; all of them where the job is a gang.
   *
   * @param most how many tasks may start in a round
   */
  private static IntList pending(Job job, int most) {
    int limit = Math.min(most, Snapshot.JobView.MAX_PENDING);
    IntList pending = new IntArrayList(Math.min(job.waitingCount(), limit));
    boolean gang = job.spec().isGang();
    int task = job.nextWaiting(0);
    while (task >= 0 && (gang || pending.size() < limit)) {
      pending.add(task);
      task = job.nextWaiting(task + 1);
    }
    return pending;
  }

  private IntList openByZone(Job job) {
    int[] zones = new int[settings.zones().size()];
    for (Attempt attempt : job.openAttempts()) {
      if (attempt.zone() >= 0 && attempt.zone() < zones.length) {
        zones[attempt.zone()]++;
      }
    }
    return IntArrayList.wrap(zones);
  }
}
