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
 * Unfinished jobs and their attempts: the only place where an attempt opens or closes. Whatever a
 * policy asks for, {@link Admission} decides; it counts every attempt that may still exist.
 *
 * <p>Not safe for use by several threads; the controller's lock guards it.
 */
public final class Ledger {

  /**
   * One task and the machine that it is to run on.
   *
   * @param index the task's number in its job
   */
  public record Placement(int index, MachineAttributes site) {}

  private final int valueBytes;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final Collection<Job> jobsView = Collections.unmodifiableCollection(jobs.values());
  private final ResourceUsage usage = new ResourceUsage();
  private final RecentJobEnds recentEnds = new RecentJobEnds();
  private final Admission admission;
  private final SegmentMerger merger;
  private final WriteQueue writeQueue;
  private final DependencyGraph dependencies;

  /**
   * Creates a ledger without jobs.
   *
   * @param teams the limits of each team
   * @param valueBytes the most bytes that the key-value store holds as one value
   */
  public Ledger(Map<String, Team> teams, int valueBytes, Clock clock) {
    this.valueBytes = valueBytes;
    this.admission = new Admission(teams, valueBytes, usage);
    this.merger = new SegmentMerger(valueBytes);
    this.writeQueue = new WriteQueue(clock);
    this.dependencies = new DependencyGraph(this, clock);
  }

  // ---- questions ------------------------------------------------------------------------------

  /** The most bytes that the key-value store holds as one value. */
  int valueBytes() {
    return valueBytes;
  }

  /** The dependencies between jobs. */
  public DependencyGraph dependencies() {
    return dependencies;
  }

  /** An unfinished job, or null: asked for each task of each heartbeat. */
  public Job job(JobId id) {
    return jobs.get(id);
  }

  /** All unfinished jobs, in the order in which they were added. */
  public Collection<Job> jobs() {
    return jobsView;
  }

  /** The final state of a job that ended recently. */
  public Optional<JobState> findEnd(JobId id) {
    return recentEnds.find(id);
  }

  /** Resources that a team's open attempts use. */
  public Resources teamUse(String team) {
    return usage.ofTeam(team);
  }

  /** Resources of a machine that open attempts use. */
  public Resources machineUse(MachineId machine) {
    return usage.ofMachine(machine);
  }

  /** Attempts open on a machine; to be copied before some of them are opened or closed. */
  public Collection<Attempt> attemptsOn(MachineId machine) {
    return usage.attemptsOn(machine);
  }

  /** Whether a task that a machine shows is an attempt that is open there. */
  public boolean holds(TaskStatus shown, MachineId machine) {
    Job job = jobs.get(shown.task().job());
    Attempt attempt = job == null ? null : job.open(shown.task().index());
    return attempt != null
        && attempt.number().equals(shown.attempt())
        && attempt.machine().equals(machine);
  }

  /** Machines with open attempts, whether or not anything else is known about them. */
  public Set<MachineId> machinesInUse() {
    return usage.machines();
  }

  /** Whether resources keep to a team's limit; a limit of 0 is none. */
  public static boolean within(Team team, Resources use) {
    return (team.cpusMax() == 0 || use.cpus() <= team.cpusMax())
        && (team.gpusMax() == 0 || use.gpus() <= team.gpusMax());
  }

  /**
   * The state of a job, unless memory alone can't say it for certain: a cancellation that is not
   * known to be durable may be durable all the same, its own or that of a dependency.
   */
  public Optional<JobState> findState(Job job) {
    if (job.cancelDurable()) {
      return Optional.of(job.state());
    }
    return job.over() || job.cancelled() || !dependencies.isCertain(job)
        ? Optional.empty()
        : Optional.of(job.state());
  }

  // ---- jobs -----------------------------------------------------------------------------------

  /** Adds a job that the key-value store holds; has no effect where the ledger has it already. */
  public void add(Job job) {
    if (jobs.putIfAbsent(job.spec().id(), job) != null) {
      return;
    }
    job.openAttempts().forEach(usage::add);
    mergeAndFinish(job);
    dependencies.add(job);
  }

  /**
   * Cancels a job on behalf of its user; no task starts from now on. A job that is over stays what
   * it is: the record that says so may be on its way to the key-value store already.
   */
  public void cancel(Job job) {
    if (!job.cancelled() && !job.over()) {
      job.cancel();
      afterCancellation(job);
    }
  }

  /** A dependency of the job is durably cancelled, and so is the job, before its record says it. */
  void cancelByDependency(Job job) {
    job.cancelByDependency();
    afterCancellation(job);
  }

  private void afterCancellation(Job job) {
    job.record().dirty().set(0);
    writeQueue.add(job);
    mergeAndFinish(job);
  }

  /** The key-value store holds a job's cancellation. */
  void markCancelDurable(Job job) {
    job.markCancelDurable();
    dependencies.cancelDependents(job.spec().id());
  }

  /**
   * Sets how far a job that fails everywhere has backed off. The level goes into its record with
   * the next change that is written anyway: a retry must not cost one more.
   */
  public void setBackoffLevel(Job job, int level) {
    job.backoffLevel(level);
  }

  /** The key-value store holds a job's final record: removes the job. */
  void markEnded(Job job) {
    jobs.remove(job.spec().id());
    writeQueue.remove(job);
    JobState.Phase phase = job.cancelled() ? JobState.Phase.CANCELLED : JobState.Phase.DONE;
    JobState state = new JobState(job.spec().id(), phase, job.doneCount(), 0);
    recentEnds.add(state);
    dependencies.markEnded(state);
  }

  /** A job outside the ledger was found to have ended, perhaps long ago. */
  public void resolveEnd(JobState state) {
    recentEnds.add(state);
    dependencies.markEnded(state);
  }

  // ---- attempts -------------------------------------------------------------------------------

  /** Of tasks that are to start, those whose attempts the job's record has room for. */
  public List<Placement> fitting(Job job, List<Placement> placements) {
    return admission.fitting(job, placements);
  }

  /**
   * Asks for more room in a job's record, as its tasks don't {@linkplain #fitting fit}. That of a
   * service is repartitioned then, where this may help: nothing of it ends by itself, so waiting
   * for room in a large segment could take for ever. An array's tasks end, and writing its first
   * segment for this in every round would only cost changes.
   */
  public void requestRoom(Job job) {
    if (job.spec().isService() && RepartitionPolicy.permits(job, valueBytes)) {
      job.record().repartitionWanted(true);
      job.record().dirty().set(0);
      writeQueue.add(job);
    }
  }

  /**
   * Opens attempts for tasks of a job, all with one number, or none of them. Nothing may be started
   * until the attempts are durable.
   *
   * @param stillShown whether a machine still shows a task that has no open attempt
   * @return the reason against it, or nothing when the attempts are open
   */
  public Optional<AdmissionRefusal> open(
      Job job, List<Placement> placements, Predicate<TaskId> stillShown, MonotonicTime now) {
    RepartitionPolicy.repartitionWaitingGang(job, valueBytes);
    Optional<AdmissionRefusal> refusal = admit(job, placements, stillShown);
    if (refusal.isEmpty()) {
      openAll(job, placements, now);
    }
    return refusal;
  }

  /** Whether attempts may open, by {@link Admission}; changes nothing. */
  Optional<AdmissionRefusal> admit(
      Job job, List<Placement> placements, Predicate<TaskId> stillShown) {
    return admission.check(job, placements, stillShown);
  }

  private void openAll(Job job, List<Placement> placements, MonotonicTime now) {
    AttemptNumber number = job.highest().next();
    job.highest(number);
    job.record().opensAttempts(true);
    job.record().dirty().set(0);
    for (Placement placement : placements) {
      int index = placement.index();
      MachineAttributes site = placement.site();
      Attempt attempt =
          new Attempt(job, index, number, site.machine(), site.epoch(), site.zone(), false, now);
      job.openMap().put(index, attempt);
      job.record().markTaskDirty(index);
      usage.add(attempt);
    }
    writeQueue.add(job);
  }

  /**
   * Closes an attempt once there is proof that it is gone. One task that is done finishes its whole
   * gang. Has no effect where the attempt is not open.
   *
   * @param done whether the task is done, so that it won't be started again
   */
  public void close(Attempt attempt, boolean done) {
    Job job = attempt.job();
    int index = attempt.task().index();
    if (!job.openMap().remove(index, attempt)) {
      return;
    }
    attempt.close();
    usage.remove(attempt);
    job.record().markTaskDirty(index);
    if (done && job.spec().isGang()) {
      job.done().set(0, job.spec().tasks());
      job.record().dirty().set(0, job.record().segments());
    } else if (done) {
      job.done().set(index);
    }
    writeQueue.add(job);
    mergeAndFinish(job);
  }

  /** Merges segments that are over into the first, and finishes the job if all of it is over. */
  private void mergeAndFinish(Job job) {
    if (merger.merge(job)) {
      writeQueue.add(job);
    }
    boolean complete = job.doneCount() == job.spec().tasks();
    if (job.openMap().isEmpty() && (complete || job.cancelled())) {
      job.markOver();
      writeQueue.add(job);
    }
  }

  // ---- writes ---------------------------------------------------------------------------------

  /** The jobs that may be written, as in {@link WriteQueue#ready}. */
  Map<WriteQueue.Urgency, List<Job>> readyToWrite(
      MonotonicTime batchedBefore, MonotonicTime overdueBefore) {
    return writeQueue.ready(batchedBefore, overdueBefore);
  }

  /** Whether a job has something to write. */
  boolean hasDirty() {
    return !writeQueue.isEmpty();
  }

  /** All that a job has to write is in a transaction. */
  void removeFromWriteQueue(Job job) {
    writeQueue.remove(job);
    job.record().opensAttempts(false);
  }
}
