package org.ternhinge.ledger;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * The life of a job in the ledger. A job is finished once nothing more is to be done for it, and
 * ended once the key-value store holds its final record.
 */
enum JobPhase {
  /** Tasks wait or have open attempts. */
  ACTIVE,
  /** A user has cancelled it; the cancellation is not durable, and attempts are still open. */
  CANCELLING,
  /** The cancellation is durable; attempts are still open. */
  CANCELLED,
  /** As {@link #CANCELLING}, without open attempts. */
  CANCELLING_FINISHED,
  /** As {@link #CANCELLED}, without open attempts. */
  CANCELLED_FINISHED,
  /** All tasks are done. */
  COMPLETED,
  /** The key-value store holds the final record of the cancelled job. */
  ENDED_CANCELLED,
  /** The key-value store holds the final record of the completed job. */
  ENDED_COMPLETED;

  private static final Map<JobPhase, Set<JobPhase>> TRANSITIONS = transitions();
  private static final Set<JobPhase> NOT_CANCELLED = EnumSet.of(ACTIVE, COMPLETED, ENDED_COMPLETED);
  private static final Set<JobPhase> DURABLY_CANCELLED =
      EnumSet.of(CANCELLED, CANCELLED_FINISHED, ENDED_CANCELLED);
  private static final Set<JobPhase> UNFINISHED = EnumSet.of(ACTIVE, CANCELLING, CANCELLED);
  private static final Set<JobPhase> ENDED = EnumSet.of(ENDED_CANCELLED, ENDED_COMPLETED);

  /**
   * The permitted transitions. An active job is cancelled durably at once where its record says so
   * when it is loaded, or where a job that it depends on is durably cancelled.
   */
  private static Map<JobPhase, Set<JobPhase>> transitions() {
    Map<JobPhase, Set<JobPhase>> table = new EnumMap<>(JobPhase.class);
    table.put(ACTIVE, EnumSet.of(CANCELLING, CANCELLED, COMPLETED));
    table.put(CANCELLING, EnumSet.of(CANCELLED, CANCELLING_FINISHED));
    table.put(CANCELLED, EnumSet.of(CANCELLED_FINISHED));
    table.put(CANCELLING_FINISHED, EnumSet.of(CANCELLED_FINISHED, ENDED_CANCELLED));
    table.put(CANCELLED_FINISHED, EnumSet.of(ENDED_CANCELLED));
    table.put(COMPLETED, EnumSet.of(ENDED_COMPLETED));
    table.put(ENDED_CANCELLED, EnumSet.noneOf(JobPhase.class));
    table.put(ENDED_COMPLETED, EnumSet.noneOf(JobPhase.class));
    return table;
  }

  /** Whether this phase may be followed by another. */
  boolean permits(JobPhase next) {
    return TRANSITIONS.get(this).contains(next);
  }

  /** Whether the job is cancelled. */
  boolean isCancelled() {
    return !NOT_CANCELLED.contains(this);
  }

  /** Whether the key-value store holds the cancellation. */
  boolean isCancelDurable() {
    return DURABLY_CANCELLED.contains(this);
  }

  /** Whether nothing more is to be done for the job. */
  boolean isFinished() {
    return !UNFINISHED.contains(this);
  }

  /** Whether the key-value store holds the job's final record. */
  boolean isEnded() {
    return ENDED.contains(this);
  }

  /** The phase once the cancellation is durable. */
  JobPhase withDurableCancellation() {
    return this == CANCELLING_FINISHED ? CANCELLED_FINISHED : CANCELLED;
  }

  /** The phase once nothing more is to be done for the job. */
  JobPhase finished() {
    return switch (this) {
      case CANCELLING -> CANCELLING_FINISHED;
      case CANCELLED -> CANCELLED_FINISHED;
      default -> COMPLETED;
    };
  }

  /** The phase once the key-value store holds the final record. */
  JobPhase ended() {
    return isCancelled() ? ENDED_CANCELLED : ENDED_COMPLETED;
  }
}
