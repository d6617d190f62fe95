package org.ternhinge.model;

/** Time and timers of the service. Tests use virtual time instead of the real one. */
public interface Clock {

  /** The present time of the steady clock, which never goes back. */
  MonotonicTime now();

  /** Time of day in milliseconds since 1970, accurate to the clock error of the settings. */
  long wallClockMillis();

  /** Runs an action once after a delay in seconds, on the thread that owns the clock. */
  void schedule(double seconds, Runnable action);
}
