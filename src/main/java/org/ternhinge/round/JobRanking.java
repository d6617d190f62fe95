package org.ternhinge.round;

import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;

/**
 * Orders pending jobs of equal priority and guarantee. Arrival order would make every job overdue
 * in a full cluster; an order by size divided by waiting time lets most start early, and as every
 * job's key improves while it waits, none starves. A pure function of its arguments.
 */
final class JobRanking {
  /**
   * Seconds without a start after which a job is served like one within its team's guarantee. Half
   * of the four minutes in which the largest jobs have to start: provisioning, booting and fetching
   * the image take the rest.
   */
  static final double OVERDUE_S = 120;

  /** Added to a job's waiting time, in seconds, so that new jobs are comparable by their size. */
  private static final double WAIT_OFFSET_S = 30;

  /** Places gangs before services and arrays; larger than any key from size and wait. */
  private static final double GANG_KEY = -1e7;

  /** Places services before arrays and after gangs. */
  private static final double SERVICE_KEY = -1e6;

  /** Places overdue jobs before the others of their kind. */
  private static final double OVERDUE_KEY = -1e5;

  private JobRanking() {}

  /**
   * The progress of a job.
   *
   * @param pending tasks that are not done and have no open attempt
   * @param done tasks that are done
   * @param open tasks with an open attempt
   * @param waitedS seconds since it could first start
   */
  record Progress(int pending, int done, int open, double waitedS) {
    /** Whether no task was started within {@link #OVERDUE_S}. */
    boolean isOverdue() {
      return open == 0 && done == 0 && waitedS > OVERDUE_S;
    }
  }

  /**
   * The sort key of a job, lowest first. Gangs come first and then services, by the CPUs that they
   * ask for; arrays by the work that is not done; each divided by the time that it has waited.
   */
  static double key(JobSpec spec, Progress progress) {
    double wait = progress.waitedS() + WAIT_OFFSET_S;
    if (progress.isOverdue()) {
      // Regardless of its size: otherwise short jobs would be preferred to it for ever.
      return kindKey(spec) + OVERDUE_KEY - wait;
    }
    return kindKey(spec) + size(spec, progress) / wait;
  }

  private static double kindKey(JobSpec spec) {
    return switch (spec.kind()) {
      case GANG -> GANG_KEY;
      case SERVICE -> SERVICE_KEY;
      case ARRAY -> 0;
    };
  }

  /** The requested CPUs of a gang or a service; the estimated CPU seconds of an array. */
  private static double size(JobSpec spec, Progress progress) {
    if (spec.kind() != JobKind.ARRAY) {
      return progress.pending() * spec.cpus();
    }
    int undone = spec.tasks() - progress.done();
    return undone * spec.cpus() * Math.max(1, spec.estimateS());
  }
}
