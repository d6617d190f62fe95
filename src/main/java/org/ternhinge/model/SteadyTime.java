package org.ternhinge.model;

/**
 * A reading of the steady clock of this process. Readings of different processes are not
 * comparable.
 *
 * @param nanos nanoseconds since an arbitrary origin, which may overflow
 */
public record SteadyTime(long nanos) implements Comparable<SteadyTime> {
  private static final double NANOS_PER_S = 1e9;

  /** The time that is a number of seconds later. */
  public SteadyTime plusSeconds(double seconds) {
    return new SteadyTime(nanos + (long) (seconds * NANOS_PER_S));
  }

  /** Seconds from an earlier time to this one. */
  public double secondsSince(SteadyTime earlier) {
    return (nanos - earlier.nanos) / NANOS_PER_S;
  }

  /** Whether this time comes before the other. */
  public boolean isBefore(SteadyTime other) {
    return nanos - other.nanos < 0;
  }

  /** The later of both times. */
  public SteadyTime max(SteadyTime other) {
    return isBefore(other) ? other : this;
  }

  @Override
  public int compareTo(SteadyTime other) {
    return Long.compare(nanos - other.nanos, 0);
  }
}
