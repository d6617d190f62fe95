package org.ternhinge.ledger;

/** How far an attempt has come, by the latest status of its worker. */
public enum AttemptState {
  /** No status yet: the start may be on its way. */
  STARTING,
  /** The image is being fetched. */
  FETCHING,
  /** A task of a gang waits for the others. */
  WAITING,
  RUNNING,
  /** A checkpoint is being written before the task stops. */
  CHECKPOINTING
}
