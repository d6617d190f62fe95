package org.ternhinge.machine;

import java.util.function.BooleanSupplier;
import org.ternhinge.model.MonotonicTime;

/**
 * Tracks whether answers and commands reach the worker of one machine. If they are lost while its
 * heartbeats still arrive, the leader would extend the worker's lease by answers that it never
 * received, place tasks on the machine and wait for starts that have no effect. Guarded by the
 * controller's lock.
 */
public final class CommandReachability {
  /**
   * Consecutive answers without effect after which a worker is considered unreachable. A single
   * answer may be lost on a healthy connection.
   */
  private static final int UNREACHABLE_AFTER = 3;

  /** Seconds between probes of an unreachable worker. */
  private static final double PROBE_INTERVAL_S = 5;

  private int missedAnswers;
  private boolean unreachable;
  private MonotonicTime unreachableSince;
  private MonotonicTime probedAt;

  /**
   * Records that a later heartbeat shows no effect of the last answer.
   *
   * @param othersReachable whether enough other workers are reachable to rule out a fault of this
   *     node; evaluated only if it affects the result, since it iterates over all machines
   */
  public void recordMissedAnswer(MonotonicTime now, BooleanSupplier othersReachable) {
    missedAnswers++;
    if (missedAnswers >= UNREACHABLE_AFTER && !unreachable && othersReachable.getAsBoolean()) {
      unreachable = true;
      unreachableSince = now;
    }
  }

  /** Records that the worker's epoch has ended although its heartbeats were answered. */
  public void recordLeaseExpiry(MonotonicTime now, BooleanSupplier othersReachable) {
    missedAnswers = UNREACHABLE_AFTER - 1;
    recordMissedAnswer(now, othersReachable);
  }

  /**
   * Records that the worker shows the effect of a command. This does not prove that an unreachable
   * worker is reachable again, since the command may have been delayed for a long time.
   */
  public void recordCommandEffect() {
    missedAnswers = 0;
  }

  /** Records that the worker answered a direct command. */
  public void recordProbeAnswer() {
    missedAnswers = 0;
    unreachable = false;
  }

  /** Returns whether commands to the worker are presumed lost. */
  public boolean isUnreachable() {
    return unreachable;
  }

  /** Returns the seconds for which the worker has been unreachable; 0 if it is reachable. */
  public double unreachableForS(MonotonicTime now) {
    return unreachable ? now.secondsSince(unreachableSince) : 0;
  }

  /** Returns whether a probe is due. Returning true starts a new probe interval. */
  public boolean isProbeDue(MonotonicTime now) {
    if (!unreachable || (probedAt != null && now.secondsSince(probedAt) < PROBE_INTERVAL_S)) {
      return false;
    }
    probedAt = now;
    return true;
  }
}
