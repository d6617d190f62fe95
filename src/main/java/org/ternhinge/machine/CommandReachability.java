package org.ternhinge.machine;

import java.util.function.BooleanSupplier;
import org.ternhinge.model.SteadyTime;

/**
 * Whether answers and commands reach a worker. Its heartbeats may arrive while these don't: then
 * the leader would count its lease from answers that were lost, place tasks there and wait for
 * starts that never show.
 */
public final class CommandReachability {
  /** Answers in a row that had no effect; a single one may be lost on a healthy connection. */
  private static final int UNREACHABLE_AFTER = 3;

  /** How often a worker that seems unreachable is probed. */
  private static final double PROBE_INTERVAL_S = 5;

  private int missedAnswers;
  private boolean unreachable;
  private SteadyTime unreachableSince;
  private SteadyTime probedAt;

  /**
   * A later heartbeat shows no trace of the last answer.
   *
   * @param othersReachable whether enough other workers are reached, so that the fault is not this
   *     node's own; asked only where it decides, since it looks at every machine
   */
  public void answerMissed(SteadyTime now, BooleanSupplier othersReachable) {
    missedAnswers++;
    if (missedAnswers >= UNREACHABLE_AFTER && !unreachable && othersReachable.getAsBoolean()) {
      unreachable = true;
      unreachableSince = now;
    }
  }

  /** Its epoch ended although it was being answered. */
  public void leaseLapsed(SteadyTime now, BooleanSupplier othersReachable) {
    missedAnswers = UNREACHABLE_AFTER - 1;
    answerMissed(now, othersReachable);
  }

  /**
   * It shows the effect of a command. From an unreachable worker that is no proof: the command may
   * have been held back for long.
   */
  public void effectSeen() {
    missedAnswers = 0;
  }

  /** It has answered a direct command. */
  public void probeAnswered() {
    missedAnswers = 0;
    unreachable = false;
  }

  /** Whether commands are taken to be lost on their way there. */
  public boolean unreachable() {
    return unreachable;
  }

  /** For how many seconds it has been unreachable; 0 where it is not. */
  public double unreachableFor(SteadyTime now) {
    return unreachable ? now.secondsSince(unreachableSince) : 0;
  }

  /** Whether it is time to probe it; true once each time. */
  public boolean isProbeDue(SteadyTime now) {
    if (!unreachable || (probedAt != null && now.secondsSince(probedAt) < PROBE_INTERVAL_S)) {
      return false;
    }
    probedAt = now;
    return true;
  }
}
