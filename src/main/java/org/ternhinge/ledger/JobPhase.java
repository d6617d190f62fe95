package org.ternhinge.ledger;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * Lifecycle of a job in the ledger. A job is finished once it has no open attempts and needs no
 * more starts, and ended once its final record is durable in the key-value store.
 */
enum JobPhase {
  /** Tasks are waiting or have open attempts. */
  ACTIVE,
  /** Cancelled by a user; the cancellation is not durable yet and attempts are still open. */
  CANCELLING,
  /** The cancellation is durable; attempts are still open. */
  CANCELLED,
  /** Same as {@link #CANCELLING}, without open attempts. */
  CANCELLING_FINISHED,
  /** Same as {@link #CANCELLED}, without open attempts. */
  CANCELLED_FINISHED,
  /** All tasks are done. */
  COMPLETED,
  /** The final record of the cancelled job is durable. */
  ENDED_CANCELLED,
  /** The final record of the completed job is durable. */
  ENDED_COMPLETED;

  private static final Map<JobPhase, Set<JobPhase>> TRANSITIONS = transitions();
  private static final Set<JobPhase> NOT_CANCELLED = EnumSet.of(ACTIVE, COMPLETED, ENDED_COMPLETED);
  private static final Set<JobPhase> DURABLY_CANCELLED =
      EnumSet.of(CANCELLED, CANCELLED_FINISHED, ENDED_CANCELLED);
  private static final Set<JobPhase> UNFINISHED = EnumSet.of(ACTIVE, CANCELLING, CANCELLED);
  private static final Set<JobPhase> ENDED = EnumSet.of(ENDED_CANCELLED, ENDED_COMPLETED);

  /**
   * The permitted transitions. An active job becomes durably cancelled in one step if its loaded
   * record says so or if a dependency is durably cancelled.
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

  /** Whether a transition from this phase to {@code next} is permitted. */
  boolean permits(JobPhase next) {
    return TRANSITIONS.get(this).contains(next);
  }

  /** Whether the job is cancelled. */
  boolean isCancelled() {
    return !NOT_CANCELLED.contains(this);
  }

  /** Whether the cancellation is durable in the key-value store. */
  boolean isCancellationDurable() {
    return DURABLY_CANCELLED.contains(this);
  }

  /** Whether the job has no open attempts and needs no more starts. */
  boolean isFinished() {
    return !UNFINISHED.contains(this);
  }

  /** Whether the job's final record is durable in the key-value store. */
  boolean isEnded() {
    return ENDED.contains(this);
  }

  /** The phase that follows once the cancellation is durable. */
  JobPhase withDurableCancellation() {
    return this == CANCELLING_FINISHED ? CANCELLED_FINISHED : CANCELLED;
  }

  /** The phase that follows once the job is finished. */
  JobPhase finished() {
    return switch (this) {
      case CANCELLING -> CANCELLING_FINISHED;
      case CANCELLED -> CANCELLED_FINISHED;
      default -> COMPLETED;
    };
  }

  /** The phase that follows once the final record is durable. */
  JobPhase ended() {
    return isCancelled() ? ENDED_CANCELLED : ENDED_COMPLETED;
  }
}
