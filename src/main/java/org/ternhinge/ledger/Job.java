package org.ternhinge.ledger;

import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Revision;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Priority;

/**
 * A job that is not yet over, with its open attempts. Its record in the key-value store is split
 * into segments of a fixed number of tasks, so that a large array fits the limit on values; only
 * the segments that changed are written. Everything here is changed by the {@link Ledger} alone.
 */
public final class Job {
  private final JobSpec spec;
  private final long acceptedMillis;
  private int segmentSize;
  private final BitSet done = new BitSet();
  private final Int2ObjectOpenHashMap<Attempt> open = new Int2ObjectOpenHashMap<>();
  private final BitSet dirty = new BitSet();
  private final BitSet inFlight = new BitSet();
  private final BitSet merged = new BitSet();
  private final Int2LongOpenHashMap revisions = new Int2LongOpenHashMap();

  private AttemptNumber highest = AttemptNumber.NONE;
  private boolean cancelled;
  private boolean cancelDurable;
  private boolean over;
  private boolean finalDurable;
  private boolean opening;
  private SteadyTime dirtySince;
  private final Set<JobId> unmetDependencies = new LinkedHashSet<>();
  private JobSpec planned;
  private long readyMillis;
  private boolean cancelledByDependency;
  private int specBytes;
  private int backoffLevel;
  private boolean repartitionWanted;
  private boolean repartitionTooLarge;

  Job(JobSpec spec, long acceptedMillis, int segmentSize) {
    this.spec = spec;
    this.acceptedMillis = acceptedMillis;
    this.segmentSize = segmentSize;
    this.planned = spec;
    this.readyMillis = acceptedMillis;
  }

  /** The job as it was submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** The job as the planner is to see it, with the highest priority of those that depend on it. */
  public JobSpec planned() {
    return planned;
  }

  /** Takes over a priority; false if it has as high a one. */
  boolean inherit(Priority priority) {
    if (priority.compareTo(planned.priority()) >= 0) {
      return false;
    }
    planned = spec.withPriority(priority);
    return true;
  }

  /** Jobs that it depends on and that are not known to be durably done. */
  Set<JobId> unmetDependencies() {
    return unmetDependencies;
  }

  /** Whether a job before it is not durably done: nothing of it may start. */
  public boolean hasUnmetDependencies() {
    return !unmetDependencies.isEmpty();
  }

  /** Whether a task of it was ever to start; then all that it depends on was done. */
  boolean started() {
    return highest.value() > 0 || !done.isEmpty() || !open.isEmpty();
  }

  /** When it could first start: from then on its times are counted, but for its deadline. */
  public long readyMillis() {
    return readyMillis;
  }

  void readyMillis(long at) {
    readyMillis = at;
  }

  /** Whether it is cancelled since one that it depends on is, whatever its own record says yet. */
  public boolean cancelledByDependency() {
    return cancelledByDependency;
  }

  void markCancelledByDependency() {
    cancelledByDependency = true;
    unmetDependencies.clear();
    markCancelled(true);
  }

  /** When the submission was accepted, in milliseconds of wall time. */
  public long acceptedMillis() {
    return acceptedMillis;
  }

  /** How many tasks a segment of its record holds. */
  public int segmentSize() {
    return segmentSize;
  }

  /** How long its description is in its record. */
  int specBytes() {
    if (specBytes == 0) {
      specBytes = RecordSize.specBytes(spec);
    }
    return specBytes;
  }

  /** Changes the segment size: the next write has to carry the whole record, unless it is empty. */
  void repartition(int size) {
    segmentSize = size;
    repartitionWanted = false;
  }

  /** Whether tasks wait for the record to be repartitioned. */
  boolean repartitionWanted() {
    return repartitionWanted;
  }

  void repartitionWanted(boolean wanted) {
    repartitionWanted = wanted;
  }

  /** Whether its record, repartitioned, would not fit one transaction. */
  boolean repartitionTooLarge() {
    return repartitionTooLarge;
  }

  void markRepartitionTooLarge() {
    repartitionTooLarge = true;
  }

  /** How many segments its record has. */
  public int segments() {
    return (spec.tasks() + segmentSize - 1) / segmentSize;
  }

  /** The first task of a segment. */
  int firstTask(int segment) {
    return segment * segmentSize;
  }

  /** The number after that of a segment's last task. */
  int endOfTasks(int segment) {
    return Math.min(spec.tasks(), firstTask(segment) + segmentSize);
  }

  int segmentOf(int index) {
    return index / segmentSize;
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

  /** The first such task from a number on, or -1. */
  public int nextWaiting(int from) {
    for (int i = done.nextClearBit(from); i < spec.tasks(); i = done.nextClearBit(i + 1)) {
      if (!open.containsKey(i)) {
        return i;
      }
    }
    return -1;
  }

  /** How many tasks have been seen to run or to save. */
  public int runningCount() {
    int count = 0;
    for (Attempt a : open.values()) {
      if (a.state() == AttemptState.RUNNING || a.state() == AttemptState.CHECKPOINTING) {
        count++;
      }
    }
    return count;
  }

  /** The highest attempt number that was given out. */
  public AttemptNumber highest() {
    return highest;
  }

  void highest(AttemptNumber number) {
    highest = number;
  }

  /** How often its back-off has grown since a task of it was done; 0 where none failed lately. */
  public int backoffLevel() {
    return backoffLevel;
  }

  void backoffLevel(int level) {
    backoffLevel = level;
  }

  /** Whether the job is cancelled. */
  public boolean cancelled() {
    return cancelled;
  }

  void markCancelled(boolean alreadyDurable) {
    cancelled = true;
    cancelDurable |= alreadyDurable;
  }

  /** Whether the key-value store holds the cancellation, so that users may be told. */
  public boolean cancelDurable() {
    return cancelDurable;
  }

  void cancelIsDurable() {
    cancelDurable = true;
  }

  /** Whether nothing more is to be done for it. */
  public boolean over() {
    return over;
  }

  void markOver() {
    over = true;
  }

  /** Whether the key-value store holds its final state. */
  public boolean finalDurable() {
    return finalDurable;
  }

  void finalIsDurable() {
    finalDurable = true;
  }

  BitSet dirty() {
    return dirty;
  }

  /** Whether attempts were opened that are not written yet. */
  boolean opening() {
    return opening;
  }

  void opening(boolean value) {
    opening = value;
  }

  /** Since when it has something to write. */
  SteadyTime dirtySince() {
    return dirtySince;
  }

  void dirtySince(SteadyTime at) {
    dirtySince = at;
  }

  BitSet inFlight() {
    return inFlight;
  }

  BitSet merged() {
    return merged;
  }

  /** Whether what is known of this task is what the key-value store holds. */
  public boolean recorded(int index) {
    int segment = segmentOf(index);
    return !dirty.get(segment) && !inFlight.get(segment);
  }

  Revision revision(int segment) {
    return new Revision(revisions.get(segment));
  }

  void revision(int segment, Revision revision) {
    if (revision.value() == 0) {
      revisions.remove(segment);
    } else {
      revisions.put(segment, revision.value());
    }
  }

  boolean segmentOver(int segment) {
    if (!cancelled && done.nextClearBit(firstTask(segment)) < endOfTasks(segment)) {
      return false;
    }
    for (Attempt a : open.values()) {
      if (segmentOf(a.task().index()) == segment) {
        return false;
      }
    }
    return true;
  }

  /** Segments after the first that still have a key of their own. */
  BitSet liveSegments() {
    BitSet live = new BitSet();
    revisions.keySet().forEach(p -> live.set(p));
    live.clear(0);
    return live;
  }
}
