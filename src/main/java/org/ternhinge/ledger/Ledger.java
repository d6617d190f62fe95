package org.ternhinge.ledger;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.BitSet;
import java.util.Collection;
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
import org.ternhinge.model.Resources;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.TaskStatus;

/**
 * Jobs and their attempts: the only place where an attempt opens or closes. Whatever a policy asks,
 * {@link Admission} decides; it counts every attempt that may still be anywhere.
 *
 * <p>Not safe for use by several threads; the controller's lock guards it.
 */
public final class Ledger {
  /** Final states kept in memory, for users who ask for a job shortly after its end. */
  private static final int JOB_ENDS_KEPT = 4096;

  /**
   * One task and where it is to go.
   *
   * @param index the task's number in its job
   */
  public record Placement(int index, MachineAttributes site) {}

  private final int valueBytes;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final ResourceUsage usage = new ResourceUsage();
  private final Object2ObjectLinkedOpenHashMap<JobId, JobState> finals =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Admission admission;
  private final WriteQueue writeQueue;
  private final Dependencies dependencies;

  /**
   * Creates a ledger without jobs.
   *
   * @param valueBytes the most that the key-value store takes as one value
   */
  public Ledger(Map<String, Team> teams, int valueBytes, Clock clock) {
    this.valueBytes = valueBytes;
    this.admission = new Admission(teams, valueBytes, usage);
    this.writeQueue = new WriteQueue(clock);
    this.dependencies = new Dependencies(this, clock);
  }

  /** The most that the key-value store takes as one value. */
  int valueBytes() {
    return valueBytes;
  }

  /** Which jobs wait for which. */
  public Dependencies dependencies() {
    return dependencies;
  }

  /** An unfinished job, or null. */
  public Job job(JobId id) {
    return jobs.get(id);
  }

  /** All unfinished jobs, in the order in which they came. */
  public Collection<Job> jobs() {
    return jobs.values();
  }

  /** The final state of a job that ended lately, or null. */
  public JobState ended(JobId id) {
    return finals.get(id);
  }

  /** Keeps a final state for a while, for {@link #ended(JobId)}. */
  public void rememberEnd(JobState state) {
    finals.putAndMoveToLast(state.id(), state);
    if (finals.size() > JOB_ENDS_KEPT) {
      finals.removeFirst();
    }
  }

  /** What a team's open attempts take up of its limits. */
  public Resources teamUse(String team) {
    return usage.ofTeam(team);
  }

  /** What open attempts take up of a machine. */
  public Resources machineUse(MachineId machine) {
    return usage.ofMachine(machine);
  }

  /** Attempts open on a machine; to be copied before some of them are opened or closed. */
  public Collection<Attempt> attemptsOn(MachineId machine) {
    return usage.attemptsOn(machine);
  }

  /** Whether a task that a machine shows is an attempt open there. */
  public boolean holds(TaskStatus shown, MachineId machine) {
    Job job = jobs.get(shown.task().job());
    Attempt attempt = job == null ? null : job.open(shown.task().index());
    return attempt != null
        && attempt.number().equals(shown.attempt())
        && attempt.machine().equals(machine);
  }

  /** Machines that attempts are open on, whether or not anything else is known of them. */
  public Set<MachineId> machinesInUse() {
    return usage.machines();
  }

  /** Takes in a job that the key-value store holds. */
  public void adopt(Job job) {
    if (jobs.putIfAbsent(job.spec().id(), job) != null) {
      return;
    }
    job.openAttempts().forEach(usage::add);
    settle(job);
    dependencies.adopted(job);
  }

  /** Of tasks that are to start, those whose attempts the job's record has room for. */
  public List<Placement> fitting(Job job, List<Placement> placements) {
    return admission.fitting(job, placements);
  }

  /**
   * Tasks of a job don't {@linkplain #fitting fit} its record. That of a service is repartitioned
   * then, where this may help: nothing of it ends by itself, so waiting for room in a large segment
   * could be for ever. An array's tasks end, and to write its first segment for this in every round
   * would only cost changes.
   */
  public void requestRoom(Job job) {
    if (job.spec().isService() && mayRepartition(job)) {
      job.repartitionWanted(true);
      job.dirty().set(0);
      writeQueue.add(job);
    }
  }

  /** Whether a record has larger segments than it would have now, and may be repartitioned. */
  boolean mayRepartition(Job job) {
    return RecordSize.segmentSize(job, valueBytes) < job.segmentSize()
        && job.merged().isEmpty()
        && job.inFlight().isEmpty()
        && !job.repartitionTooLarge()
        && !job.over();
  }

  /**
   * A gang laid down under a larger limit may not fit its segments any more. While it waits nothing
   * stands in them but in the first, so that the next write of that one repartitions it.
   */
  private void repartitionWaitingGang(Job job) {
    if (job.spec().isGang()
        && mayRepartition(job)
        && job.openMap().isEmpty()
        && job.liveSegments().isEmpty()
        && !SegmentCapacity.isUnlimited(job, valueBytes)) {
      job.repartition(RecordSize.segmentSize(job, valueBytes));
      job.dirty().clear();
      job.dirty().set(0);
    }
  }

  /**
   * Opens attempts for tasks of a job, all with one number, or none of them. Nothing may be started
   * until the attempts are durable.
   *
   * @param stillShown whether a machine still shows a task that has no open attempt
   * @return nothing when the attempts are open, otherwise the reason against it
   */
  public Optional<AdmissionRefusal> open(
      Job job, List<Placement> placements, Predicate<TaskId> stillShown, SteadyTime now) {
    repartitionWaitingGang(job);
    Optional<AdmissionRefusal> refusal = admit(job, placements, stillShown);
    if (refusal.isEmpty()) {
      openAll(job, placements, now);
    }
    return refusal;
  }

  /** Whether attempts may open, by {@link Admission}. */
  Optional<AdmissionRefusal> admit(
      Job job, List<Placement> placements, Predicate<TaskId> stillShown) {
    return admission.check(job, placements, stillShown);
  }

  private void openAll(Job job, List<Placement> placements, SteadyTime now) {
    AttemptNumber number = job.highest().next();
    job.highest(number);
    job.opening(true);
    job.dirty().set(0);
    for (Placement placement : placements) {
      int index = placement.index();
      MachineAttributes site = placement.site();
      Attempt attempt =
          new Attempt(job, index, number, site.machine(), site.epoch(), site.zone(), false, now);
      job.openMap().put(index, attempt);
      job.dirty().set(job.segmentOf(index));
      usage.add(attempt);
    }
    writeQueue.add(job);
  }

  /** Whether so much use keeps to a team's limit; a limit of 0 limits nothing. */
  public static boolean within(Team team, Resources use) {
    return (team.cpusMax() == 0 || use.cpus() <= team.cpusMax())
        && (team.gpusMax() == 0 || use.gpus() <= team.gpusMax());
  }

  /**
   * There is proof that an attempt is gone. One finished task finishes its whole gang.
   *
   * @param done whether the task is done, so that it won't be started again
   */
  public void close(Attempt attempt, boolean done) {
    Job job = attempt.job();
    int index = attempt.task().index();
    if (!job.openMap().remove(index, attempt)) {
      return;
    }
    usage.remove(attempt);
    job.dirty().set(job.segmentOf(index));
    if (done && job.spec().isGang()) {
      job.done().set(0, job.spec().tasks());
      job.dirty().set(0, job.segments());
    } else if (done) {
      job.done().set(index);
    }
    writeQueue.add(job);
    settle(job);
  }

  /**
   * The job's user has cancelled it; starts end at this instant. A job that is over stays what it
   * is: the record that says so may be on its way to the key-value store already.
   */
  public void cancel(Job job) {
    if (!job.cancelled() && !job.over()) {
      job.markCancelled(false);
      job.dirty().set(0);
      writeQueue.add(job);
      settle(job);
    }
  }

  /**
   * Notes how far a job that fails everywhere has backed off. The level goes into its record with
   * the next change that is written anyway: a retry must not cost one more.
   */
  public void setBackoffLevel(Job job, int level) {
    job.backoffLevel(level);
  }

  /** One that it depends on is durably cancelled: so is it, whenever its own record says so. */
  void cancelByDependency(Job job) {
    job.markCancelledByDependency();
    job.dirty().set(0);
    writeQueue.add(job);
    settle(job);
  }

  /** The key-value store holds a job's cancellation. */
  void cancelIsDurable(Job job) {
    job.cancelIsDurable();
    dependencies.cancelDependents(job.spec().id());
  }

  /** The state of a job as far as memory can tell it, or null: see {@link Dependencies#sure}. */
  public JobState stateFor(Job job) {
    if (job.cancelDurable()) {
      return stateOf(job);
    }
    return job.over() || job.cancelled() || !dependencies.sure(job) ? null : stateOf(job);
  }

  /** Merges segments that are over into the first, and marks the job if all of it is over. */
  private void settle(Job job) {
    for (int segment = 1; segment < job.segments(); segment++) {
      if (!job.merged().get(segment) && job.segmentOver(segment) && mayMerge(job, segment)) {
        job.merged().set(segment);
        job.dirty().set(0);
        job.dirty().set(segment);
        writeQueue.add(job);
      }
    }
    boolean complete = job.doneCount() == job.spec().tasks();
    if (job.openMap().isEmpty() && (complete || job.cancelled())) {
      job.markOver();
      writeQueue.add(job);
    }
  }

  /** The first segment lists what is merged; a segment that would make the list too long stays. */
  private boolean mayMerge(Job job, int segment) {
    BitSet merged = job.merged();
    boolean joins = merged.get(segment + 1) || merged.get(segment - 1);
    return joins || ranges(merged) < RecordSize.mergedRanges(valueBytes);
  }

  private static int ranges(BitSet set) {
    int ranges = 0;
    for (int i = set.nextSetBit(0); i >= 0; i = set.nextSetBit(set.nextClearBit(i))) {
      ranges++;
    }
    return ranges;
  }

  /** The jobs that may be written, as in {@link WriteQueue#ready}. */
  Map<WriteQueue.Urgency, List<Job>> readyToWrite(
      SteadyTime batchedBefore, SteadyTime overdueBefore) {
    return writeQueue.ready(batchedBefore, overdueBefore);
  }

  /** Whether a job has something to write. */
  boolean hasDirty() {
    return !writeQueue.isEmpty();
  }

  /** All that a job has to write is in a transaction. */
  void clean(Job job) {
    writeQueue.remove(job);
    job.opening(false);
  }

  /** The key-value store holds a job's end. */
  void ended(Job job) {
    jobs.remove(job.spec().id());
    writeQueue.remove(job);
    JobState.Phase phase = job.cancelled() ? JobState.Phase.CANCELLED : JobState.Phase.DONE;
    JobState state = new JobState(job.spec().id(), phase, job.doneCount(), 0);
    rememberEnd(state);
    dependencies.ended(state);
  }

  /** What the user of a job in this ledger may be told. */
  public static JobState stateOf(Job job) {
    JobId id = job.spec().id();
    if (job.cancelDurable()) {
      return new JobState(id, JobState.Phase.CANCELLED, job.doneCount(), 0);
    }
    int running = job.runningCount();
    JobState.Phase phase = running > 0 ? JobState.Phase.RUNNING : JobState.Phase.QUEUED;
    return new JobState(id, phase, job.doneCount(), running);
  }
}
