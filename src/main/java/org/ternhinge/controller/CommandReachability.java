package org.ternhinge.controller;

import java.util.function.BooleanSupplier;
import org.ternhinge.model.SteadyTime;

/**
 * Whether a machine hears what it is told. Its reports may arrive while answers and commands don't
 * reach it: then the leader would count its lease from answers that nobody heard, place tasks there
 * and wait for starts that never show.
 */
final class CommandReachability {
  /** Answers in a row that had no effect; one may be lost on a healthy way. */
  private static final int DEAF_AFTER = 3;

  /** How often a machine that seems deaf is called. */
  private static final double CALL_S = 5;

  private int unheard;
  private boolean deaf;
  private SteadyTime since;
  private SteadyTime called;

  /**
   * A later report shows no trace of the last answer.
   *
   * @param othersHear whether it may be the machine's own trouble; asked only where it decides,
   *     since the answer takes a look at every machine
   */
  void missed(SteadyTime now, BooleanSupplier othersHear) {
    unheard++;
    if (unheard >= DEAF_AFTER && !deaf && othersHear.getAsBoolean()) {
      deaf = true;
      since = now;
    }
  }

  /** Its session ended although it was being answered. */
  void lapsed(SteadyTime now, BooleanSupplier othersHear) {
    unheard = DEAF_AFTER - 1;
    missed(now, othersHear);
  }

  /** It shows what it was told; from a deaf machine that may be an order held back for long. */
  void obeyed() {
    unheard = 0;
  }

  /** It has answered a call. */
  void heard() {
    unheard = 0;
    deaf = false;
  }

  boolean deaf() {
    return deaf;
  }

  double deafFor(SteadyTime now) {
    return deaf ? now.secondsSince(since) : 0;
  }

  /** Whether it is time to call it; says so once each time. */
  boolean callNow(SteadyTime now) {
    if (!deaf || (called != null && now.secondsSince(called) < CALL_S)) {
      return false;
    }
    called = now;
    return true;
  }
}
