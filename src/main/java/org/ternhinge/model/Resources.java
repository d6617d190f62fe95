package org.ternhinge.model;

/**
 * Amounts in thousandths, so that sums of many tasks stay exact. What a task takes is rounded up
 * and what a machine or limit offers is rounded down: an error can then never overfill.
 */
public record Resources(long cpus, long gpus, long memory) {
  public static final Resources ZERO = new Resources(0, 0, 0);

  /** What a task asks for, rounded up. */
  public static Resources need(double cpus, double gpus, double memory) {
    return new Resources(up(cpus), up(gpus), up(memory));
  }

  /** What a machine or a limit offers, rounded down. */
  public static Resources offer(double cpus, double gpus, double memory) {
    return new Resources(down(cpus), down(gpus), down(memory));
  }

  private static long up(double value) {
    return (long) Math.ceil(value * 1000 - 1e-6);
  }

  private static long down(double value) {
    return (long) Math.floor(value * 1000 + 1e-6);
  }

  /** The sum of both. */
  public Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, memory + other.memory);
  }

  /** What is left after taking the other away; parts may be negative. */
  public Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, memory - other.memory);
  }

  /** So many times as much. */
  public Resources times(long count) {
    return new Resources(cpus * count, gpus * count, memory * count);
  }

  /** Whether there is room for this in the given room. */
  public boolean fitsIn(Resources room) {
    return cpus <= room.cpus && gpus <= room.gpus && memory <= room.memory;
  }

  /** How many tasks of this size a room holds. */
  public int timesIn(Resources room) {
    long count = Integer.MAX_VALUE;
    if (cpus > 0) {
      count = Math.min(count, Math.floorDiv(room.cpus, cpus));
    }
    if (gpus > 0) {
      count = Math.min(count, Math.floorDiv(room.gpus, gpus));
    }
    if (memory > 0) {
      count = Math.min(count, Math.floorDiv(room.memory, memory));
    }
    return (int) Math.max(0, count);
  }

  // By hand, as in the other small types that are compared and looked up for each heartbeat: what
  // the
  // compiler makes for a record goes through method handles, which the quick compiler that these
  // machines need does not see through (13 us to compare seven tasks, 0.6 us for two terms).
  @Override
  public boolean equals(Object other) {
    return other instanceof Resources t && t.cpus == cpus && t.gpus == gpus && t.memory == memory;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(31 * (31 * cpus + gpus) + memory);
  }
}
