package org.ternhinge.model;

/** A reading of the steady clock of this process. */
public record SteadyTime(long nanos) implements Comparable<SteadyTime> {

  public SteadyTime plusSeconds(double seconds) {
    return new SteadyTime(nanos + (long) (seconds * 1e9));
  }

  public double secondsSince(SteadyTime earlier) {
    return (nanos - earlier.nanos) / 1e9;
  }

  public boolean isBefore(SteadyTime other) {
    return nanos - other.nanos < 0;
  }

  public SteadyTime max(SteadyTime other) {
    return isBefore(other) ? other : this;
  }

  @Override
  public int compareTo(SteadyTime other) {
    return Long.compare(nanos - other.nanos, 0);
  }
}
