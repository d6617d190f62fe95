package org.ternhinge.ledger;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.Priority;

/**
 * An unfinished job with its done tasks and open attempts. Its phase changes as {@link JobPhase}
 * permits; {@link JobRecordState} tracks which parts of its record must be written. Modified only
 * by the {@link Ledger} and its helpers in this package; guarded by the controller's lock.
 */
public final class Job {
  private final JobSpec spec;
  private final long acceptedMillis;
  private final JobRecordState record;
  private final BitSet done = new BitSet();
  private final Int2ObjectOpenHashMap<Attempt> open = new Int2ObjectOpenHashMap<>();
  private final Set<JobId> unmetDependencies = new LinkedHashSet<>();

  private JobPhase phase = JobPhase.ACTIVE;
  private boolean cancelledByDependency;
  private AttemptNumber highest = AttemptNumber.NONE;
  private JobSpec planned;
  private long readyMillis;
  private int backoffLevel;

  Job(JobSpec spec, long acceptedMillis, int segmentSize) {
    this.spec = spec;
    this.acceptedMillis = acceptedMillis;
    this.record = new JobRecordState(spec, segmentSize);
    this.planned = spec;
    this.readyMillis = acceptedMillis;
  }

  /** The job specification as submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** Wall-clock time in milliseconds at which the submission was accepted. */
  public long acceptedMillis() {
    return acceptedMillis;
  }

  /** The state of the job's record in the key-value store. */
  JobRecordState record() {
    return record;
  }

  /** Whether the current state of a task is durable in the key-value store. */
  public boolean isRecorded(int index) {
    return record.isWritten(index);
  }

  // ---- phase ----------------------------------------------------------------------------------

  /** Whether the job is cancelled. */
  public boolean isCancelled() {
    return phase.isCancelled();
  }

  /** Whether the cancellation is durable in the key-value store, so that users may see it. */
  public boolean isCancellationDurable() {
    return phase.isCancellationDurable();
  }

  /** Whether the job has no open attempts and needs no more starts. */
  public boolean isFinished() {
    return phase.isFinished();
  }

  /** Whether the final record is durable in the key-value store. */
  public boolean isFinalRecordDurable() {
    return phase.isEnded();
  }

  /** Whether the job is cancelled because of a cancelled dependency, whatever its record says. */
  public boolean isCancelledByDependency() {
    return cancelledByDependency;
  }

  /** Cancels the job at a user's request. */
  void cancel() {
    transition(JobPhase.CANCELLING);
  }

  /** Marks the cancellation as durable in the key-value store; idempotent. */
  void markCancellationDurable() {
    if (!phase.isCancellationDurable()) {
      transition(phase.withDurableCancellation());
    }
  }

  /** Marks the job as durably cancelled because a dependency is. */
  void cancelByDependency() {
    markCancellationDurable();
    cancelledByDependency = true;
    unmetDependencies.clear();
  }

  /** Marks the job as finished; idempotent. */
  void markFinished() {
    if (!phase.isFinished()) {
      transition(phase.finished());
    }
  }

  /** Marks the final record as durable in the key-value store. */
  void markFinalRecordDurable() {
    transition(phase.ended());
  }

  private void transition(JobPhase next) {
    if (!phase.permits(next)) {
      throw new IllegalTransitionException("job " + spec.id(), phase, next);
    }
    phase = next;
  }

  /** The state that is visible to users. */
  public JobState state() {
    JobId id = spec.id();
    if (isCancellationDurable()) {
      return new JobState(id, JobState.Phase.CANCELLED, doneCount(), 0);
    }
    int running = runningCount();
    JobState.Phase visible = running > 0 ? JobState.Phase.RUNNING : JobState.Phase.QUEUED;
    return new JobState(id, visible, doneCount(), running);
  }

  // ---- dependencies and priority --------------------------------------------------------------

  /** The specification for the planner, with the highest priority among the job's dependents. */
  public JobSpec plannedSpec() {
    return planned;
  }

  /** Raises the planned priority; returns false if it is already as high. */
  boolean raisePriority(Priority priority) {
    if (priority.compareTo(planned.priority()) >= 0) {
      return false;
    }
    planned = spec.withPriority(priority);
    return true;
  }

  /** Dependencies that are not known to be durably done. */
  Set<JobId> unmetDependencies() {
    return unmetDependencies;
  }

  /** Whether a dependency is not known to be durably done, so that no task may start. */
  public boolean hasUnmetDependencies() {
    return !unmetDependencies.isEmpty();
  }

  /** Wall-clock time in milliseconds from which the job's delays count, except for its deadline. */
  public long readyMillis() {
    return readyMillis;
  }

  void setReadyMillis(long at) {
    readyMillis = at;
  }

  // ---- tasks and attempts ---------------------------------------------------------------------

  /** Whether an attempt was ever opened, which implies that all dependencies were done. */
  boolean hasStarted() {
    return highest.value() > 0 || !done.isEmpty() || !open.isEmpty();
  }

  /** Whether a task is known to be done. */
  public boolean isDone(int index) {
    return done.get(index);
  }

  /** How many tasks are known to be done. */
  public int doneCount() {
    return done.cardinality();
  }

  BitSet doneTasks() {
    return done;
  }

  /** The open attempt of a task, or null. */
  public Attempt openAttempt(int index) {
    return open.get(index);
  }

  /** All open attempts, in no order. */
  public Collection<Attempt> openAttempts() {
    return open.values();
  }

  Int2ObjectOpenHashMap<Attempt> openAttemptsByTask() {
    return open;
  }

  /** Tasks that are not done and have no open attempt. */
  public int waitingCount() {
    int done = doneCount();
    if (done == spec.tasks()) {
      return 0;
    }
    return spec.tasks() - done - open.size();
  }

  /** The first task at or after an index that is not done and has no open attempt, or -1. */
  public int nextWaiting(int from) {
    for (int i = done.nextClearBit(from); i < spec.tasks(); i = done.nextClearBit(i + 1)) {
      if (!open.containsKey(i)) {
        return i;
      }
    }
    return -1;
  }

  /** Number of tasks that run or write a checkpoint, from their workers' latest status. */
  public int runningCount() {
    int count = 0;
    for (Attempt attempt : open.values()) {
      if (attempt.state() == AttemptState.RUNNING
          || attempt.state() == AttemptState.CHECKPOINTING) {
        count++;
      }
    }
    return count;
  }

  /** Whether a segment's tasks have no open attempts and need no more starts. */
  boolean isSegmentFinished(int segment) {
    int firstTask = record.firstTask(segment);
    if (!isCancelled() && done.nextClearBit(firstTask) < record.endTask(segment)) {
      return false;
    }
    for (Attempt attempt : open.values()) {
      if (record.segmentOf(attempt.task().index()) == segment) {
        return false;
      }
    }
    return true;
  }

  /** The highest attempt number used so far. */
  public AttemptNumber highestAttempt() {
    return highest;
  }

  void setHighestAttempt(AttemptNumber number) {
    highest = number;
  }

  /** Number of back-off increases since a task last completed; 0 without recent failures. */
  public int backoffLevel() {
    return backoffLevel;
  }

  void setBackoffLevel(int level) {
    backoffLevel = level;
  }
}
