package org.ternhinge.model;

/**
 * Amounts in thousandths, so that sums of many tasks stay exact. What a task takes is rounded up
 * and what a machine or limit offers is rounded down: an error can then never overfill.
 */
public record Resources(long cpus, long gpus, long memory) {
  public static final Resources ZERO = new Resources(0, 0, 0);

  public static Resources need(double cpus, double gpus, double memory) {
    return new Resources(up(cpus), up(gpus), up(memory));
  }

  public static Resources offer(double cpus, double gpus, double memory) {
    return new Resources(down(cpus), down(gpus), down(memory));
  }

  private static long up(double value) {
    return (long) Math.ceil(value * 1000 - 1e-6);
  }

  private static long down(double value) {
    return (long) Math.floor(value * 1000 + 1e-6);
  }

  public Resources plus(Resources o) {
    return new Resources(cpus + o.cpus, gpus + o.gpus, memory + o.memory);
  }

  public Resources minus(Resources o) {
    return new Resources(cpus - o.cpus, gpus - o.gpus, memory - o.memory);
  }

  public Resources times(long n) {
    return new Resources(cpus * n, gpus * n, memory * n);
  }

  public boolean fitsIn(Resources room) {
    return cpus <= room.cpus && gpus <= room.gpus && memory <= room.memory;
  }

  /** How many tasks of this size a room holds. */
  public int timesIn(Resources room) {
    long n = Integer.MAX_VALUE;
    if (cpus > 0) {
      n = Math.min(n, Math.floorDiv(room.cpus, cpus));
    }
    if (gpus > 0) {
      n = Math.min(n, Math.floorDiv(room.gpus, gpus));
    }
    if (memory > 0) {
      n = Math.min(n, Math.floorDiv(room.memory, memory));
    }
    return (int) Math.max(0, n);
  }

  // By hand, as in the other small types that are compared and looked up for each report: what the
  // compiler makes for a record goes through method handles, which the quick compiler that these
  // machines need does not see through (13 us to compare seven tasks, 0.6 us for two terms).
  @Override
  public boolean equals(Object o) {
    return o instanceof Resources t && t.cpus == cpus && t.gpus == gpus && t.memory == memory;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(31 * (31 * cpus + gpus) + memory);
  }
}
