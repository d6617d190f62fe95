package org.ternhinge.controller;

import org.ternhinge.model.SteadyTime;

/**
 * Whether a machine gets what it is told. Its reports may arrive while answers and commands are
 * lost on their way to it: then the leader would count its lease from answers that nobody heard,
 * place tasks there and wait for starts that never show. Guarded by the controller's lock.
 */
final class CommandReachability {
  /** Answers in a row that had no effect; one may be lost on a healthy way. */
  private static final int LOST_AFTER = 3;

  /** Seconds between two probes of a machine that seems unreachable by commands. */
  private static final double PROBE_INTERVAL_S = 5;

  private int withoutEffect;
  private boolean commandsLost;
  private SteadyTime lostSince;
  private SteadyTime probedAt;

  /**
   * A later report shows no trace of the last answer.
   *
   * @param othersReachable whether the machine alone has that trouble, rather than this node
   */
  void noEffect(SteadyTime now, boolean othersReachable) {
    withoutEffect++;
    if (withoutEffect >= LOST_AFTER && !commandsLost && othersReachable) {
      commandsLost = true;
      lostSince = now;
    }
  }

  /** Its session ended although its reports were being answered: the answers did not arrive. */
  void leaseLapsed(SteadyTime now, boolean othersReachable) {
    withoutEffect = LOST_AFTER - 1;
    noEffect(now, othersReachable);
  }

  /**
   * It shows what it was told. From a machine that seems unreachable that may be a command which
   * was held back for long, so it does not clear the verdict.
   */
  void tookEffect() {
    withoutEffect = 0;
  }

  /** It has answered a command. */
  void answered() {
    withoutEffect = 0;
    commandsLost = false;
  }

  /** Whether commands to it seem to get lost. */
  boolean commandsLost() {
    return commandsLost;
  }

  /** Seconds for which commands to it have seemed to get lost, or 0. */
  double commandsLostForS(SteadyTime now) {
    return commandsLost ? now.secondsSince(lostSince) : 0;
  }

  /** Whether it is time to probe it; true once for each interval. */
  boolean probeDue(SteadyTime now) {
    boolean probedLately = probedAt != null && now.secondsSince(probedAt) < PROBE_INTERVAL_S;
    if (!commandsLost || probedLately) {
      return false;
    }
    probedAt = now;
    return true;
  }
}
