package org.ternhinge.machine;

import java.util.function.BooleanSupplier;
import org.ternhinge.model.MonotonicTime;

/**
 * Whether answers and commands reach the worker of one machine. Its heartbeats may arrive while
 * these are lost: then the leader would extend its lease by answers that never arrived, place tasks
 * there and wait for starts that have no effect. Guarded by the controller's lock.
 */
public final class CommandReachability {
  /**
   * Consecutive answers without effect from which a worker counts as unreachable; a single answer
   * may be lost on a healthy connection.
   */
  private static final int UNREACHABLE_AFTER = 3;

  /** Seconds between two probes of an unreachable worker. */
  private static final double PROBE_INTERVAL_S = 5;

  private int missedAnswers;
  private boolean unreachable;
  private MonotonicTime unreachableSince;
  private MonotonicTime probedAt;

  /**
   * A later heartbeat shows no effect of the last answer.
   *
   * @param othersReachable whether enough other workers are reachable, so that the fault is not
   *     this node's own; evaluated only where it decides, since it visits every machine
   */
  public void answerMissed(MonotonicTime now, BooleanSupplier othersReachable) {
    missedAnswers++;
    if (missedAnswers >= UNREACHABLE_AFTER && !unreachable && othersReachable.getAsBoolean()) {
      unreachable = true;
      unreachableSince = now;
    }
  }

  /** The worker's epoch has ended although its heartbeats were answered. */
  public void leaseLapsed(MonotonicTime now, BooleanSupplier othersReachable) {
    missedAnswers = UNREACHABLE_AFTER - 1;
    answerMissed(now, othersReachable);
  }

  /**
   * The worker shows the effect of a command. This does not prove that an unreachable worker is
   * reachable again: the command may have been delayed for long.
   */
  public void effectSeen() {
    missedAnswers = 0;
  }

  /** The worker has answered a direct command. */
  public void probeAnswered() {
    missedAnswers = 0;
    unreachable = false;
  }

  /** Whether commands to the worker are presumed lost. */
  public boolean unreachable() {
    return unreachable;
  }

  /** Seconds for which the worker has been unreachable; 0 where it is reachable. */
  public double unreachableFor(MonotonicTime now) {
    return unreachable ? now.secondsSince(unreachableSince) : 0;
  }

  /** Whether a probe is due; the next one is due an interval after a call that returns true. */
  public boolean isProbeDue(MonotonicTime now) {
    if (!unreachable || (probedAt != null && now.secondsSince(probedAt) < PROBE_INTERVAL_S)) {
      return false;
    }
    probedAt = now;
    return true;
  }
}
