package org.ternhinge.heartbeat;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.JobSpec;

/**
 * Evicts the tasks of a spot machine that the cloud is about to reclaim: service replicas are
 * stopped so that they can be started elsewhere, and tasks with checkpoints save one and stop.
 * Guarded by the controller's lock.
 */
final class ReclaimNoticeHandler {
  private static final Logger LOG = LoggerFactory.getLogger(ReclaimNoticeHandler.class);

  /** Time in seconds for a task to stop, in addition to the time for saving its checkpoint. */
  private static final double CHECKPOINT_SLACK_S = 1;

  private final Ledger ledger;
  private final AttemptLifecycle attempts;

  ReclaimNoticeHandler(Ledger ledger, AttemptLifecycle attempts) {
    this.ledger = ledger;
    this.attempts = attempts;
  }

  /** Handles a reclaim notice in a status report, unless the machine has already had one. */
  void handle(Machine machine, Heartbeat status, MonotonicTime now) {
    if (status.reclaimNoticeS().isEmpty() || machine.cloud().hasReclaimNotice()) {
      return;
    }
    double noticeS = status.reclaimNoticeS().getAsDouble();
    machine.cloud().recordReclaimNotice(now.plusSeconds(noticeS));
    LOG.info("machine {}: spot reclaim notice, {} s remaining", machine.id(), noticeS);
    for (Attempt attempt : List.copyOf(ledger.attemptsOn(machine.id()))) {
      evict(attempt);
    }
  }

  private void evict(Attempt attempt) {
    JobSpec spec = attempt.job().spec();
    if (spec.isService()) {
      attempts.stop(attempt, 0);
    } else if (spec.checkpointIntervalS() > 0 && spec.checkpointSaveS() > 0) {
      attempts.stopWithGang(attempt, spec.checkpointSaveS() + CHECKPOINT_SLACK_S);
    }
  }
}
