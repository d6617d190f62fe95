package org.ternhinge.ledger;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.ternhinge.config.Team;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Resources;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.TaskStatus;

/**
 * The unfinished jobs and their attempts; attempts are opened and closed only here. Every start is
 * subject to {@link AdmissionControl}, which counts all attempts that may still exist.
 *
 * <p>Not thread-safe; guarded by the controller's lock.
 */
public final class Ledger {

  /**
   * The assignment of a task to a machine.
   *
   * @param index the task's index in its job
   */
  public record Placement(int index, MachineAttributes machine) {}

  private final int valueBytes;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final Collection<Job> jobsView = Collections.unmodifiableCollection(jobs.values());
  private final ResourceUsage usage = new ResourceUsage();
  private final RecentlyEndedJobs recentlyEnded = new RecentlyEndedJobs();
  private final AdmissionControl admission;
  private final SegmentMerger segmentMerger;
  private final WriteQueue writeQueue;
  private final DependencyGraph dependencies;

  /**
   * Creates a ledger without jobs.
   *
   * @param teams the teams and their limits, by name
   * @param valueBytes maximum size of a value in the key-value store
   */
  public Ledger(Map<String, Team> teams, int valueBytes, Clock clock) {
    this.valueBytes = valueBytes;
    this.admission = new AdmissionControl(teams, valueBytes, usage);
    this.segmentMerger = new SegmentMerger(valueBytes);
    this.writeQueue = new WriteQueue(clock);
    this.dependencies = new DependencyGraph(this, clock);
  }

  // ---- queries --------------------------------------------------------------------------------

  /** Maximum size in bytes of a value in the key-value store. */
  int valueBytes() {
    return valueBytes;
  }

  /** The dependencies between jobs. */
  public DependencyGraph dependencies() {
    return dependencies;
  }

  /** An unfinished job, or null to avoid an allocation for each task of each heartbeat. */
  public Job job(JobId id) {
    return jobs.get(id);
  }

  /** All unfinished jobs, in the order in which they were added. */
  public Collection<Job> jobs() {
    return jobsView;
  }

  /** The final state of a job that ended recently. */
  public Optional<JobState> findFinalState(JobId id) {
    return recentlyEnded.find(id);
  }

  /** Resources used by a team's open attempts. */
  public Resources teamUsage(String team) {
    return usage.ofTeam(team);
  }

  /** Resources of a machine that are used by open attempts. */
  public Resources machineUsage(MachineId machine) {
    return usage.ofMachine(machine);
  }

  /** Open attempts on a machine; copy the collection before opening or closing any of them. */
  public Collection<Attempt> attemptsOn(MachineId machine) {
    return usage.attemptsOn(machine);
  }

  /** Whether a task reported by a machine belongs to an open attempt on that machine. */
  public boolean hasOpenAttempt(TaskStatus reported, MachineId machine) {
    Job job = jobs.get(reported.task().job());
    Attempt attempt = job == null ? null : job.openAttempt(reported.task().index());
    return attempt != null
        && attempt.number().equals(reported.attempt())
        && attempt.machine().equals(machine);
  }

  /** Machines with open attempts, including machines of which nothing else is known. */
  public Set<MachineId> machinesInUse() {
    return usage.machines();
  }

  /** Whether a usage is within a team's limits; 0 means unlimited. */
  public static boolean isWithinLimits(Team team, Resources use) {
    return (team.cpusMax() == 0 || use.cpus() <= team.cpusMax())
        && (team.gpusMax() == 0 || use.gpus() <= team.gpusMax());
  }

  /**
   * Returns the state of a job if it is certain from memory alone. It is uncertain while a
   * cancellation of the job or of a dependency is in progress, since it may already be durable.
   */
  public Optional<JobState> findState(Job job) {
    if (job.isCancellationDurable()) {
      return Optional.of(job.state());
    }
    return job.isFinished() || job.isCancelled() || !dependencies.isCertain(job)
        ? Optional.empty()
        : Optional.of(job.state());
  }

  // ---- jobs -----------------------------------------------------------------------------------

  /** Adds a job that is durable in the key-value store; has no effect if it was added before. */
  public void add(Job job) {
    if (jobs.putIfAbsent(job.spec().id(), job) != null) {
      return;
    }
    job.openAttempts().forEach(usage::add);
    mergeAndFinish(job);
    dependencies.add(job);
  }

  /**
   * Cancels a job at a user's request; no more tasks are started. A finished job is left unchanged,
   * since its final record may already have been sent to the key-value store.
   */
  public void cancel(Job job) {
    if (!job.isCancelled() && !job.isFinished()) {
      job.cancel();
      afterCancellation(job);
    }
  }

  /** Cancels a job whose dependency is durably cancelled, before its own record is written. */
  void cancelByDependency(Job job) {
    job.cancelByDependency();
    afterCancellation(job);
  }

  private void afterCancellation(Job job) {
    job.record().dirty().set(0);
    writeQueue.add(job);
    mergeAndFinish(job);
  }

  /** Marks a job's cancellation as durable and cancels the jobs that depend on it. */
  void markCancellationDurable(Job job) {
    job.markCancellationDurable();
    dependencies.cancelDependents(job.spec().id());
  }

  /**
   * Sets the back-off level of a job whose tasks fail on every machine. The level is stored with
   * the next write of the record, so that a retry does not cost an additional change.
   */
  public void setBackoffLevel(Job job, int level) {
    job.setBackoffLevel(level);
  }

  /** Removes a job whose final record is durable. */
  void markEnded(Job job) {
    jobs.remove(job.spec().id());
    writeQueue.remove(job);
    JobState.Phase phase = job.isCancelled() ? JobState.Phase.CANCELLED : JobState.Phase.DONE;
    JobState state = new JobState(job.spec().id(), phase, job.doneCount(), 0);
    recentlyEnded.add(state);
    dependencies.markEnded(state);
  }

  /** Records the final state of a job that is not in the ledger, read from the key-value store. */
  public void resolveEnd(JobState state) {
    recentlyEnded.add(state);
    dependencies.markEnded(state);
  }

  // ---- attempts -------------------------------------------------------------------------------

  /** Returns the placements whose attempts fit the job's record. */
  public List<Placement> filterFitting(Job job, List<Placement> placements) {
    return admission.filterFitting(job, placements);
  }

  /**
   * Requests more space in a job's record when placements do not {@linkplain #filterFitting fit}.
   * Only the record of a service is repartitioned: its tasks do not end by themselves, so a large
   * segment might never have space again. Tasks of an array end, and writing its first segment in
   * every scheduling round would only consume changes.
   */
  public void requestRecordSpace(Job job) {
    if (job.spec().isService() && RepartitionPolicy.permits(job, valueBytes)) {
      job.record().setRepartitionRequested(true);
      job.record().dirty().set(0);
      writeQueue.add(job);
    }
  }

  /**
   * Opens attempts for all placements, with a common attempt number, or for none of them. No task
   * may be started until its attempt is durable.
   *
   * @param stillReported whether a machine still reports a task that has no open attempt
   * @return the reason for a refusal, or empty if the attempts were opened
   */
  public Optional<AdmissionRefusal> open(
      Job job, List<Placement> placements, Predicate<TaskId> stillReported, MonotonicTime now) {
    RepartitionPolicy.repartitionWaitingGang(job, valueBytes);
    Optional<AdmissionRefusal> refusal = admit(job, placements, stillReported);
    if (refusal.isEmpty()) {
      openAll(job, placements, now);
    }
    return refusal;
  }

  /** Checks by {@link AdmissionControl} whether attempts may be opened, without opening them. */
  Optional<AdmissionRefusal> admit(
      Job job, List<Placement> placements, Predicate<TaskId> stillReported) {
    return admission.check(job, placements, stillReported);
  }

  private void openAll(Job job, List<Placement> placements, MonotonicTime now) {
    AttemptNumber number = job.highestAttempt().next();
    job.setHighestAttempt(number);
    job.record().setHasUnsentAttempts(true);
    job.record().dirty().set(0);
    for (Placement placement : placements) {
      int index = placement.index();
      MachineAttributes machine = placement.machine();
      Attempt attempt =
          new Attempt(
              job, index, number, machine.id(), machine.epoch(), machine.zone(), false, now);
      job.openAttemptsByTask().put(index, attempt);
      job.record().markTaskDirty(index);
      usage.add(attempt);
    }
    writeQueue.add(job);
  }

  /**
   * Closes an attempt that is proven to have ended. One done task completes its whole gang. Has no
   * effect if the attempt is not open.
   *
   * @param done whether the task is done and must not be started again
   */
  public void close(Attempt attempt, boolean done) {
    Job job = attempt.job();
    int index = attempt.task().index();
    if (!job.openAttemptsByTask().remove(index, attempt)) {
      return;
    }
    attempt.close();
    usage.remove(attempt);
    job.record().markTaskDirty(index);
    if (done && job.spec().isGang()) {
      job.doneTasks().set(0, job.spec().tasks());
      job.record().dirty().set(0, job.record().segments());
    } else if (done) {
      job.doneTasks().set(index);
    }
    writeQueue.add(job);
    mergeAndFinish(job);
  }

  /** Merges finished segments into the first one, and marks the job as finished if it is. */
  private void mergeAndFinish(Job job) {
    if (segmentMerger.merge(job)) {
      writeQueue.add(job);
    }
    boolean complete = job.doneCount() == job.spec().tasks();
    if (job.openAttemptsByTask().isEmpty() && (complete || job.isCancelled())) {
      job.markFinished();
      writeQueue.add(job);
    }
  }

  // ---- writes ---------------------------------------------------------------------------------

  /** Returns the jobs to write, as {@link WriteQueue#ready} does. */
  Map<WriteQueue.Urgency, List<Job>> readyToWrite(
      MonotonicTime batchedBefore, MonotonicTime overdueBefore) {
    return writeQueue.ready(batchedBefore, overdueBefore);
  }

  /** Whether a job has pending writes. */
  boolean hasPendingWrites() {
    return !writeQueue.isEmpty();
  }

  /** Removes a job all of whose pending writes are in a transaction. */
  void removeFromWriteQueue(Job job) {
    writeQueue.remove(job);
    job.record().setHasUnsentAttempts(false);
  }
}
