package org.ternhinge.limit;

/**
 * Priority of a request under rate limiting, the highest first. Each priority leaves a reserve in
 * the bucket to the higher ones, so that a burst of less urgent requests never delays a more urgent
 * one.
 */
public enum RequestPriority {
  /** Acquires or renews the leadership, on which everything else depends. */
  RENEWAL(0),
  /** Records a user's cancellation; until then the job's tasks waste resources. */
  CANCEL(0.05),
  /** Records a user's submission, which should be accepted within a second. */
  ACCEPT(0.08),
  /** Records a task's attempt, before its start. */
  ATTEMPT(0.25),
  /** Records the end of a job or a task, for which its user polls. */
  ENDING(0.3),
  /** Anything that tolerates a short delay, such as records of provision requests. */
  BOOKKEEPING(0.35),
  /** Answers a user's query, which clients repeat anyway. */
  QUERY(0.4);

  private final double reserve;

  RequestPriority(double reserve) {
    this.reserve = reserve;
  }

  /** The fraction of a bucket, from 0 to 1, that requests of this priority leave to higher ones. */
  double reserve() {
    return reserve;
  }
}
