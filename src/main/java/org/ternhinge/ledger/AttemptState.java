package org.ternhinge.ledger;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** Lifecycle of an attempt, from the decision to open it until it is proven to have ended. */
public enum AttemptState {
  /** Opened in memory; its record is not durable yet, so no start may be sent. */
  PROPOSED,
  /** Durable, not yet reported by the worker; a start command may have been sent. */
  STARTING,
  /** The worker is fetching the image. */
  FETCHING,
  /** The task is waiting for the other tasks of its gang. */
  WAITING,
  /** The task is running. */
  RUNNING,
  /** The task is writing a checkpoint before it stops. */
  CHECKPOINTING,
  /** The attempt is proven to have ended. */
  CLOSED;

  private static final Map<AttemptState, Set<AttemptState>> TRANSITIONS = transitions();

  /**
   * The permitted transitions. States reported by a worker may follow each other in any order and
   * may repeat: the leader does not see every step, and a status report must not be rejected
   * because of its order.
   */
  private static Map<AttemptState, Set<AttemptState>> transitions() {
    Set<AttemptState> reportedOrClosed =
        EnumSet.of(FETCHING, WAITING, RUNNING, CHECKPOINTING, CLOSED);
    Map<AttemptState, Set<AttemptState>> table = new EnumMap<>(AttemptState.class);
    table.put(PROPOSED, EnumSet.of(STARTING, CLOSED));
    table.put(STARTING, reportedOrClosed);
    table.put(FETCHING, reportedOrClosed);
    table.put(WAITING, reportedOrClosed);
    table.put(RUNNING, reportedOrClosed);
    table.put(CHECKPOINTING, reportedOrClosed);
    table.put(CLOSED, EnumSet.noneOf(AttemptState.class));
    return table;
  }

  /** Whether a transition from this state to {@code next} is permitted. */
  boolean permits(AttemptState next) {
    return TRANSITIONS.get(this).contains(next);
  }

  /** Whether an attempt in this state is durable in the key-value store. */
  boolean isDurable() {
    return this != PROPOSED;
  }

  /** Whether workers report this state in their status. */
  public boolean isReported() {
    return this == FETCHING || this == WAITING || this == RUNNING || this == CHECKPOINTING;
  }
}
