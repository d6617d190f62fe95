package org.ternhinge.round;

import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;

/**
 * Orders waiting jobs that are alike in priority and guarantee. Arrival order would make every job
 * late in a full cluster; ordering by size against waiting time lets most start early, and since
 * every job's key improves as it waits, none starves. A pure function of its arguments.
 */
final class JobRanking {
  /**
   * A job that has waited so long without a start is served like one within a guarantee, in
   * seconds. Half of the four minutes in which users see the largest begin: provisioning, booting
   * and fetching the image come after it.
   */
  static final double LATE_S = 120;

  /** Added to a job's waiting time, in seconds, so that new jobs are comparable by their size. */
  private static final double WAIT_OFFSET_S = 30;

  /** Places gangs before services and arrays; beyond every key that size and wait can give. */
  private static final double GANG_KEY = -1e7;

  /** Places services before arrays and after gangs. */
  private static final double SERVICE_KEY = -1e6;

  /** Places late jobs before those of their kind that are not late. */
  private static final double LATE_KEY = -1e5;

  private JobRanking() {}

  /**
   * How far a job has come.
   *
   * @param waiting tasks that are not done and have no open attempt
   * @param done tasks that are done
   * @param open tasks with an open attempt
   * @param waitedS seconds since it could first start
   */
  record Progress(int waiting, int done, int open, double waitedS) {
    /** Whether no task was started within {@link #LATE_S}. */
    boolean late() {
      return open == 0 && done == 0 && waitedS > LATE_S;
    }
  }

  /**
   * The sort key of a job, lowest first. Gangs come first and then services, by the CPUs that they
   * ask for; arrays by the work that they have left; each against the time that it has waited.
   */
  static double key(JobSpec spec, Progress progress) {
    double wait = progress.waitedS() + WAIT_OFFSET_S;
    if (progress.late()) {
      // However large: what favours short work would pass it over for ever.
      return kindKey(spec) + LATE_KEY - wait;
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

  /** The CPUs that a gang or a service asks for; the estimated CPU seconds of an array. */
  private static double size(JobSpec spec, Progress progress) {
    if (spec.kind() != JobKind.ARRAY) {
      return progress.waiting() * spec.cpus();
    }
    int left = spec.tasks() - progress.done();
    return left * spec.cpus() * Math.max(1, spec.estimateS());
  }
}
