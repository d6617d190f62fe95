package org.ternhinge.controller;

import org.ternhinge.ledger.Job;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.JobKind;

/**
 * A small part of the fleet that goes to arrays which have waited for long, ahead of their
 * priority. In a full fleet an array of low priority would otherwise never run, however little work
 * it is, as long as others of higher priority keep coming; and one of many short tasks that was
 * started once would stay where it is. Made anew for each snapshot.
 */
final class StarvationShare {
  /** The part of the CPUs of all machines that are up. */
  private static final double SHARE = 0.02;

  private final long most;
  private long cpusLeft;

  /**
   * Creates the share of a fleet.
   *
   * @param machines all machines that the planner is shown
   */
  StarvationShare(Iterable<Snapshot.MachineView> machines) {
    long cpus = 0;
    for (Snapshot.MachineView machine : machines) {
      cpus += machine.ready() ? machine.flavor().capacity().cpus() : 0;
    }
    this.most = (long) (cpus * SHARE);
    this.cpusLeft = most;
  }

  /**
   * How many more tasks of a job may start ahead of its priority. What it has open counts. A job
   * that never was started is late, which has a rule of its own.
   */
  int take(Job job, JobRanking.Progress progress, boolean guaranteed) {
    long cpusEach = job.spec().need().cpus();
    long cpusOpen = progress.open() * cpusEach;
    boolean starved =
        job.spec().kind() == JobKind.ARRAY
            && !guaranteed
            && !progress.late()
            && progress.waitedS() > JobRanking.LATE_S
            && cpusOpen < most;
    if (!starved) {
      return 0;
    }
    cpusLeft -= cpusOpen;
    int tasks = (int) Math.min(progress.waiting(), Math.max(0, cpusLeft) / cpusEach);
    cpusLeft -= tasks * cpusEach;
    return tasks;
  }
}
