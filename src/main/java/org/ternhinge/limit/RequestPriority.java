package org.ternhinge.limit;

/**
 * Who goes first when tokens run short. Each lane leaves a part of the bucket to those before it.
 */
public enum RequestPriority {
  RENEWAL(0),
  CANCEL(0.05),
  ACCEPT(0.08),
  ATTEMPT(0.25),
  ENDING(0.3),
  BOOKKEEPING(0.35),
  QUERY(0.4);

  private final double reserve;

  RequestPriority(double reserve) {
    this.reserve = reserve;
  }

  double reserve() {
    return reserve;
  }
}
