package org.ternhinge.model;

/**
 * CPUs, accelerators and memory of a task, a machine or a quota, in thousandths of a CPU, of an
 * accelerator and of a GB, so that sums over many tasks stay exact. Requests are rounded up and
 * capacities are rounded down: a rounding error can then never overcommit a machine.
 *
 * @param cpus thousandths of a CPU
 * @param gpus thousandths of an accelerator
 * @param memory thousandths of a GB
 */
public record Resources(long cpus, long gpus, long memory) {
  /** No resources. */
  public static final Resources ZERO = new Resources(0, 0, 0);

  private static final double THOUSANDTHS_PER_UNIT = 1000;

  /** Tolerance, in thousandths, for the binary representation error of decimal numbers. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private static final int HASH_FACTOR = 31;

  /**
   * The request of a task, rounded up.
   *
   * @param cpus CPUs
   * @param gpus accelerators
   * @param memoryGb GB of memory
   */
  public static Resources ofRequest(double cpus, double gpus, double memoryGb) {
    return new Resources(roundUp(cpus), roundUp(gpus), roundUp(memoryGb));
  }

  /**
   * The capacity of a machine or a quota, rounded down.
   *
   * @param cpus CPUs
   * @param gpus accelerators
   * @param memoryGb GB of memory
   */
  public static Resources ofCapacity(double cpus, double gpus, double memoryGb) {
    return new Resources(roundDown(cpus), roundDown(gpus), roundDown(memoryGb));
  }

  private static long roundUp(double amount) {
    return (long) Math.ceil(amount * THOUSANDTHS_PER_UNIT - ROUNDING_TOLERANCE);
  }

  private static long roundDown(double amount) {
    return (long) Math.floor(amount * THOUSANDTHS_PER_UNIT + ROUNDING_TOLERANCE);
  }

  /** The sum of these and other resources. */
  public Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, memory + other.memory);
  }

  /** The difference; each component may become negative. */
  public Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, memory - other.memory);
  }

  /** These resources multiplied by {@code count}. */
  public Resources times(long count) {
    return new Resources(cpus * count, gpus * count, memory * count);
  }

  /** Whether each component is at most that of the free resources. */
  public boolean fitsIn(Resources free) {
    return cpus <= free.cpus && gpus <= free.gpus && memory <= free.memory;
  }

  /**
   * How many tasks with this request fit into free resources: 0 if a requested component of those
   * is negative, and {@link Integer#MAX_VALUE} if nothing is requested.
   */
  public int countFittingIn(Resources free) {
    long count = Integer.MAX_VALUE;
    if (cpus > 0) {
      count = Math.min(count, Math.floorDiv(free.cpus, cpus));
    }
    if (gpus > 0) {
      count = Math.min(count, Math.floorDiv(free.gpus, gpus));
    }
    if (memory > 0) {
      count = Math.min(count, Math.floorDiv(free.memory, memory));
    }
    return (int) Math.max(0, count);
  }

  // Explicit for performance; see the package documentation.
  @Override
  public boolean equals(Object other) {
    return other instanceof Resources that
        && that.cpus == cpus
        && that.gpus == gpus
        && that.memory == memory;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(HASH_FACTOR * (HASH_FACTOR * cpus + gpus) + memory);
  }
}
