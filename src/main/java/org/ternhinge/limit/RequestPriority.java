package org.ternhinge.limit;

/**
 * Which requests go first when tokens run short. Each priority leaves a part of the bucket to those
 * before it, so that a burst of lesser requests never keeps a more urgent one waiting.
 */
public enum RequestPriority {
  /** Keeps or wins the leadership; without it nothing else can be done. */
  RENEWAL(0),
  /** A user's cancellation, which ends work that serves no one. */
  CANCEL(0.05),
  /** A user's submission, which is to be accepted within a second. */
  ACCEPT(0.08),
  /** The record of a task's attempt, before its start. */
  ATTEMPT(0.25),
  /** The end of a job or of a task, which its user waits to be told. */
  ENDING(0.3),
  /** What can wait for a moment, such as records of provision requests. */
  BOOKKEEPING(0.35),
  /** A user's question, which is repeated anyway. */
  QUERY(0.4);

  private final double reserve;

  RequestPriority(double reserve) {
    this.reserve = reserve;
  }

  /** The part of a bucket, from 0 to 1, that requests of this priority leave to others. */
  double reserve() {
    return reserve;
  }
}
