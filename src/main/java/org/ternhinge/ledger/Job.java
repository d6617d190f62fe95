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
 * An unfinished job with its done tasks and its open attempts. Its phase follows the table of
 * {@link JobPhase}; how its record is written is the concern of {@link JobRecordState}. Only the
 * {@link Ledger} and its helpers in this package change it; the controller's lock guards it.
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

  /** The job as it was submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** When the submission was accepted, in milliseconds of wall time. */
  public long acceptedMillis() {
    return acceptedMillis;
  }

  /** The state of the job's record in the key-value store. */
  JobRecordState record() {
    return record;
  }

  /** Whether the key-value store holds what is known of a task. */
  public boolean recorded(int index) {
    return record.isWritten(index);
  }

  // ---- phase ----------------------------------------------------------------------------------

  /** Whether the job is cancelled. */
  public boolean cancelled() {
    return phase.isCancelled();
  }

  /** Whether the key-value store holds the cancellation, so that users may see it. */
  public boolean cancelDurable() {
    return phase.isCancelDurable();
  }

  /** Whether nothing more is to be done for the job. */
  public boolean over() {
    return phase.isFinished();
  }

  /** Whether the key-value store holds the final record. */
  public boolean finalDurable() {
    return phase.isEnded();
  }

  /** Whether the job is cancelled because one that it depends on is, whatever its record says. */
  public boolean cancelledByDependency() {
    return cancelledByDependency;
  }

  /** A user cancels the job. */
  void cancel() {
    transition(JobPhase.CANCELLING);
  }

  /** The key-value store holds the cancellation; has no effect where that is known already. */
  void markCancelDurable() {
    if (!phase.isCancelDurable()) {
      transition(phase.withDurableCancellation());
    }
  }

  /** A job that this one depends on is durably cancelled, and so is this one. */
  void cancelByDependency() {
    markCancelDurable();
    cancelledByDependency = true;
    unmetDependencies.clear();
  }

  /** Nothing more is to be done for the job; has no effect where that is known already. */
  void markOver() {
    if (!phase.isFinished()) {
      transition(phase.finished());
    }
  }

  /** The key-value store holds the final record. */
  void markFinalDurable() {
    transition(phase.ended());
  }

  private void transition(JobPhase next) {
    if (!phase.permits(next)) {
      throw new IllegalTransitionException("job " + spec.id(), phase, next);
    }
    phase = next;
  }

  /** The state that the job's user may see. */
  public JobState state() {
    JobId id = spec.id();
    if (cancelDurable()) {
      return new JobState(id, JobState.Phase.CANCELLED, doneCount(), 0);
    }
    int running = runningCount();
    JobState.Phase visible = running > 0 ? JobState.Phase.RUNNING : JobState.Phase.QUEUED;
    return new JobState(id, visible, doneCount(), running);
  }

  // ---- dependencies and priority --------------------------------------------------------------

  /** The job as the planner is to see it, with the highest priority of those that depend on it. */
  public JobSpec planned() {
    return planned;
  }

  /** Raises the planned priority; false if it is as high already. */
  boolean inherit(Priority priority) {
    if (priority.compareTo(planned.priority()) >= 0) {
      return false;
    }
    planned = spec.withPriority(priority);
    return true;
  }

  /** Jobs that this one depends on and that are not known to be durably done. */
  Set<JobId> unmetDependencies() {
    return unmetDependencies;
  }

  /** Whether a dependency is not known to be durably done: no task may start. */
  public boolean hasUnmetDependencies() {
    return !unmetDependencies.isEmpty();
  }

  /** Wall time in milliseconds from which the job's delays count, except for its deadline. */
  public long readyMillis() {
    return readyMillis;
  }

  void readyMillis(long at) {
    readyMillis = at;
  }

  // ---- tasks and attempts ---------------------------------------------------------------------

  /** Whether an attempt was ever opened; then all dependencies were done. */
  boolean started() {
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

  BitSet done() {
    return done;
  }

  /** The open attempt of a task, or null. */
  public Attempt open(int index) {
    return open.get(index);
  }

  /** All open attempts, in no order. */
  public Collection<Attempt> openAttempts() {
    return open.values();
  }

  Int2ObjectOpenHashMap<Attempt> openMap() {
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

  /** The first task from a number on that is not done and has no open attempt, or -1. */
  public int nextWaiting(int from) {
    for (int i = done.nextClearBit(from); i < spec.tasks(); i = done.nextClearBit(i + 1)) {
      if (!open.containsKey(i)) {
        return i;
      }
    }
    return -1;
  }

  /** How many tasks run or write a checkpoint by their workers' latest status. */
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

  /** Whether nothing more is to be done for the tasks of a segment. */
  boolean isSegmentOver(int segment) {
    int firstTask = record.firstTask(segment);
    if (!cancelled() && done.nextClearBit(firstTask) < record.endOfTasks(segment)) {
      return false;
    }
    for (Attempt attempt : open.values()) {
      if (record.segmentOf(attempt.task().index()) == segment) {
        return false;
      }
    }
    return true;
  }

  /** The highest attempt number so far. */
  public AttemptNumber highest() {
    return highest;
  }

  void highest(AttemptNumber number) {
    highest = number;
  }

  /** How often the back-off has grown since a task was last done; 0 without recent failures. */
  public int backoffLevel() {
    return backoffLevel;
  }

  void backoffLevel(int level) {
    backoffLevel = level;
  }
}
