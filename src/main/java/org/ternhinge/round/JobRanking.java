package org.ternhinge.round;

import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;

/**
 * Orders pending jobs of equal priority and guarantee by size divided by waiting time. In a full
 * cluster, an order by arrival would make every job overdue. With this order most jobs start early,
 * and none starves because every job's key improves while it waits. A pure function of its
 * arguments.
 */
final class JobRanking {
  /**
   * Seconds without a started task after which a job ranks like one within its team's guarantee.
   * This is half of the four minutes within which the largest jobs have to start; provisioning,
   * booting and fetching the image take the other half.
   */
  static final double OVERDUE_S = 120;

  /** Added to a job's waiting time, in seconds, so that new jobs are compared by their size. */
  private static final double WAIT_OFFSET_S = 30;

  /** Offset that ranks gangs before services and arrays; exceeds any key from size and wait. */
  private static final double GANG_OFFSET = -1e7;

  /** Offset that ranks services before arrays and after gangs. */
  private static final double SERVICE_OFFSET = -1e6;

  /** Offset that ranks overdue jobs before other jobs of their kind. */
  private static final double OVERDUE_OFFSET = -1e5;

  private JobRanking() {}

  /**
   * The progress of a job.
   *
   * @param pending number of tasks that are not done and have no open attempt
   * @param done number of tasks that are done
   * @param open number of tasks with an open attempt
   * @param waitedS seconds since the job first became ready to start
   */
  record Progress(int pending, int done, int open, double waitedS) {
    /** Whether no task was started within {@link #OVERDUE_S}. */
    boolean isOverdue() {
      return open == 0 && done == 0 && waitedS > OVERDUE_S;
    }
  }

  /**
   * The sort key of a job; lower keys come first. Gangs rank before services and services before
   * arrays. Within a kind, the key is the size divided by the waiting time, where the size is the
   * requested CPUs of a gang or a service and the remaining work of an array.
   */
  static double key(JobSpec spec, Progress progress) {
    double waitS = progress.waitedS() + WAIT_OFFSET_S;
    if (progress.isOverdue()) {
      // The size is ignored; otherwise short jobs would be preferred indefinitely.
      return kindOffset(spec) + OVERDUE_OFFSET - waitS;
    }
    return kindOffset(spec) + size(spec, progress) / waitS;
  }

  private static double kindOffset(JobSpec spec) {
    return switch (spec.kind()) {
      case GANG -> GANG_OFFSET;
      case SERVICE -> SERVICE_OFFSET;
      case ARRAY -> 0;
    };
  }

  /** The requested CPUs of a gang or a service; the estimated CPU seconds of an array. */
  private static double size(JobSpec spec, Progress progress) {
    if (spec.kind() != JobKind.ARRAY) {
      return progress.pending() * spec.cpus();
    }
    int remaining = spec.tasks() - progress.done();
    return remaining * spec.cpus() * Math.max(1, spec.estimateS());
  }
}
