package org.ternhinge.model;

/** A reading of the steady clock of this process. */
public record SteadyTime(long nanos) implements Comparable<SteadyTime> {

  /** The time so many seconds later. */
  public SteadyTime plusSeconds(double seconds) {
    return new SteadyTime(nanos + (long) (seconds * 1e9));
  }

  /** Seconds from an earlier time to this one. */
  public double secondsSince(SteadyTime earlier) {
    return (nanos - earlier.nanos) / 1e9;
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
