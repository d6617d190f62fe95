package org.ternhinge.limit;

/**
 * The priority of a request when tokens run short, the highest first. Each priority leaves a
 * reserve in the bucket to the higher ones, so that a burst of less urgent requests never delays a
 * more urgent one.
 */
public enum RequestPriority {
  /** Wins or renews the leadership, on which everything else depends. */
  RENEWAL(0),
  /** Records a user's cancellation; until then the job's tasks waste resources. */
  CANCEL(0.05),
  /** Records a user's submission, which should be accepted within a second. */
  ACCEPT(0.08),
  /** Records a task's attempt, before its start. */
  ATTEMPT(0.25),
  /** Records the end of a job or a task, which its user polls for. */
  ENDING(0.3),
  /** Anything that can wait for a moment, such as records of provision requests. */
  BOOKKEEPING(0.35),
  /** Answers a user's query, which is repeated anyway. */
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
