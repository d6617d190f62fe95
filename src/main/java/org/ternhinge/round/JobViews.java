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
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.JobSpec;

/**
 * Builds the planner's views of the jobs with pending tasks. Guarded by the controller's lock.
 *
 * <p>A job with unmet dependencies is left out and uses up no part of its team's guarantee.
 */
final class JobViews {
  private static final double MILLIS_PER_S = 1000.0;

  private static final Comparator<Job> BY_READY_TIME =
      Comparator.comparingLong(Job::readyMillis).thenComparing(job -> job.spec().id());

  private final Settings settings;
  private final Clock clock;
  private final Ledger ledger;
  private final TaskFailures failures;

  JobViews(LeadershipContext context, TaskFailures failures) {
    this.settings = context.services().settings();
    this.clock = context.services().clock();
    this.ledger = context.ledger();
    this.failures = failures;
  }

  /**
   * All jobs with pending tasks, in the order in which they became ready to start.
   *
   * @param reservedTasks number of tasks of each job for which room is reserved
   */
  List<Snapshot.JobView> list(MonotonicTime now, Map<JobId, Integer> reservedTasks) {
    Map<String, Resources> requestedByTeam = new HashMap<>();
    List<Snapshot.JobView> views = new ArrayList<>();
    for (Job job : unfinishedJobs()) {
      JobSpec spec = job.plannedSpec();
      Team team = settings.teams().get(spec.team());
      if (team == null) {
        continue;
      }
      Resources requested =
          requestedByTeam.merge(
              spec.team(), spec.taskResources().times(spec.tasks()), Resources::plus);
      if (job.waitingCount() > 0) {
        views.add(
            view(
                job,
                isWithinGuarantee(requested, team),
                reservedTasks.getOrDefault(spec.id(), 0),
                now));
      }
    }
    return views;
  }

  /** The jobs whose first tasks started only after the job was overdue, with none done yet. */
  Set<JobId> lateStartedJobs(MonotonicTime now) {
    Set<JobId> jobs = new HashSet<>();
    for (Job job : ledger.jobs()) {
      if (!job.spec().isService() && !job.isCancelled() && hasStartedLate(job, now)) {
        jobs.add(job.spec().id());
      }
    }
    return jobs;
  }

  private boolean hasStartedLate(Job job, MonotonicTime now) {
    JobRanking.Progress progress = progress(job);
    if (progress.open() == 0 || progress.done() > 0 || progress.waitedS() <= JobRanking.OVERDUE_S) {
      return false;
    }
    double openForS = 0;
    for (Attempt attempt : job.openAttempts()) {
      openForS = Math.max(openForS, now.secondsSince(attempt.openedAt()));
    }
    return progress.waitedS() - openForS > JobRanking.OVERDUE_S;
  }

  private List<Job> unfinishedJobs() {
    List<Job> jobs = new ArrayList<>();
    for (Job job : ledger.jobs()) {
      if (!job.hasUnmetDependencies() && !job.isCancelled() && !job.isFinished()) {
        jobs.add(job);
      }
    }
    jobs.sort(BY_READY_TIME);
    return jobs;
  }

  /** Whether a team's requests, including those of earlier jobs, fit into its guarantee. */
  private static boolean isWithinGuarantee(Resources requested, Team team) {
    return requested.cpus() <= team.cpus() && (team.gpus() == 0 || requested.gpus() <= team.gpus());
  }

  private Snapshot.JobView view(
      Job job, boolean withinGuarantee, int reservedTasks, MonotonicTime now) {
    JobSpec spec = job.plannedSpec();
    JobRanking.Progress progress = progress(job);
    int maxStarts = failures.jobBackoff().isLimitedToSingleTask(job, now) ? 1 : Integer.MAX_VALUE;
    return new Snapshot.JobView(
        spec,
        JobRanking.key(spec, progress),
        progress.waitedS(),
        withinGuarantee,
        progress.isOverdue(),
        pendingTasks(job, maxStarts),
        Math.min(maxStarts, progress.pending()),
        openByZone(job),
        failures.jobBackoff().isBlocked(job, now),
        failures.jobBackoff().avoidedMachines(job, now),
        reservedTasks);
  }

  private JobRanking.Progress progress(Job job) {
    double waitedS = Math.max(0, clock.wallClockMillis() - job.readyMillis()) / MILLIS_PER_S;
    return new JobRanking.Progress(
        job.waitingCount(), job.doneCount(), job.openAttempts().size(), waitedS);
  }

  /**
   * The first tasks without an open attempt; all of them if the job is a gang.
   *
   * @param maxStarts maximum number of tasks that may start in a round
   */
  private static IntList pendingTasks(Job job, int maxStarts) {
    int limit = Math.min(maxStarts, Snapshot.JobView.MAX_PENDING_TASKS);
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
    int[] openByZone = new int[settings.zones().size()];
    for (Attempt attempt : job.openAttempts()) {
      if (attempt.zone() >= 0 && attempt.zone() < openByZone.length) {
        openByZone[attempt.zone()]++;
      }
    }
    return IntArrayList.wrap(openByZone);
  }
}
