package org.ternhinge.model;

/** Time and timers of the service. Tests use virtual time instead of the real one. */
public interface Clock {

  /** The present time of the steady clock, which never goes back. */
  SteadyTime now();

  /** Time of day in milliseconds since 1970, accurate to the clock error of the settings. */
  long wallMillis();

  /** Runs an action once after a delay in seconds, on the thread that owns the clock. */
  void after(double seconds, Runnable action);
}
