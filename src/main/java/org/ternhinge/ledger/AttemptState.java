package org.ternhinge.ledger;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** The life of an attempt, from the decision to open it until there is proof that it is gone. */
public enum AttemptState {
  /** Opened in memory; its record is not durable yet, so no start may be sent. */
  PROPOSED,
  /** Durable, without a status from the worker: the start may be on its way. */
  STARTING,
  /** The worker fetches the image. */
  FETCHING,
  /** A task of a gang waits for the others. */
  WAITING,
  /** The task runs. */
  RUNNING,
  /** The task writes a checkpoint before it stops. */
  CHECKPOINTING,
  /** There is proof that the attempt is gone. */
  CLOSED;

  private static final Map<AttemptState, Set<AttemptState>> TRANSITIONS = transitions();

  /**
   * The permitted transitions. Those of the states that a worker shows may follow each other in any
   * order: the leader doesn't see every step, and a worker's status must never be an error of its
   * own. Any of them may be repeated.
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

  /** Whether this state may be followed by another. */
  boolean permits(AttemptState next) {
    return TRANSITIONS.get(this).contains(next);
  }

  /** Whether the key-value store holds the attempt. */
  boolean isDurable() {
    return this != PROPOSED;
  }

  /** Whether this is a state that a worker shows in its status. */
  public boolean isReported() {
    return this == FETCHING || this == WAITING || this == RUNNING || this == CHECKPOINTING;
  }
}
