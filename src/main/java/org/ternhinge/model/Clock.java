package org.ternhinge.model;

/** Time and timers as the service sees them; tests put virtual time in its place. */
public interface Clock {

  /** The present time of the steady clock. */
  SteadyTime now();

  /** Time of day in milliseconds; only as good as the settings' clock error. */
  long wallMillis();

  /** Runs an action later, on the thread that owns the clock. */
  void after(double seconds, Runnable action);
}
