package org.ternhinge.model;

/**
 * A point in time of the monotonic clock of this process. Times of different processes are not
 * comparable.
 *
 * @param nanos nanoseconds since an arbitrary origin, which may overflow
 */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
  private static final double NANOS_PER_S = 1e9;

  /** Returns the time a number of seconds after this one. */
  public MonotonicTime plusSeconds(double seconds) {
    return new MonotonicTime(nanos + (long) (seconds * NANOS_PER_S));
  }

  /** Seconds from an earlier time to this one. */
  public double secondsSince(MonotonicTime earlier) {
    return (nanos - earlier.nanos) / NANOS_PER_S;
  }

  /** Whether this time is earlier than the other. */
  public boolean isBefore(MonotonicTime other) {
    return nanos - other.nanos < 0;
  }

  /** Returns the later of this and another time. */
  public MonotonicTime max(MonotonicTime other) {
    return isBefore(other) ? other : this;
  }

  @Override
  public int compareTo(MonotonicTime other) {
    return Long.compare(nanos - other.nanos, 0);
  }
}
