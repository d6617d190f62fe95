package org.ternhinge.failover;

import java.util.Map;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.zone.ZoneFailover;

/**
 * Finds the tasks displaced from zones that were lost under an earlier leader, that is, tasks whose
 * attempts that leader closed and that have none now. These tasks are not recorded. Therefore all
 * startable tasks count of each job that was accepted before the loss and has ever had an attempt.
 * Guarded by the controller's lock.
 */
final class DisplacedTaskRecovery {
  private static final int MILLIS_PER_SECOND = 1000;

  /** The attempt number of a displaced task whose last attempt is unknown. */
  private static final long UNKNOWN_ATTEMPT = 0;

  private final Ledger ledger;
  private final Clock clock;
  private final ZoneFailover failover;

  DisplacedTaskRecovery(LeadershipContext context, ZoneFailover failover) {
    this.ledger = context.ledger();
    this.clock = context.services().clock();
    this.failover = failover;
  }

  /** Reports the displaced tasks of all zones that are lost according to the restored record. */
  void recover() {
    MonotonicTime now = clock.now();
    for (Map.Entry<String, MonotonicTime> lost : failover.lostSince().entrySet()) {
      recoverZone(lost.getKey(), lost.getValue(), now);
    }
  }

  private void recoverZone(String zone, MonotonicTime lostAt, MonotonicTime now) {
    long lostMillis =
        clock.wallClockMillis() - (long) (now.secondsSince(lostAt) * MILLIS_PER_SECOND);
    for (Job job : ledger.jobs()) {
      if (job.highestAttempt().value() > 0
          && !FleetView.isFinished(job)
          && job.acceptedMillis() < lostMillis) {
        reportWaitingTasks(job, zone, now);
      }
    }
  }

  private void reportWaitingTasks(Job job, String zone, MonotonicTime now) {
    int task = job.nextWaiting(0);
    for (int i = 0; i < Snapshot.JobView.MAX_PENDING_TASKS && task >= 0; i++) {
      failover.attemptLost(job.plannedSpec(), task, UNKNOWN_ATTEMPT, zone, now);
      task = job.nextWaiting(task + 1);
    }
  }
}
