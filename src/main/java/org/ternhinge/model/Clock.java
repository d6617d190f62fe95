package org.ternhinge.model;

/** Source of time and timers. Tests replace it by an implementation with virtual time. */
public interface Clock {

  /** The current time of a monotonic clock. */
  MonotonicTime now();

  /** Wall-clock time in milliseconds since 1970, accurate to the clock error in the settings. */
  long wallClockMillis();

  /** Schedules an action to run once after a delay in seconds, on the thread of the clock. */
  void schedule(double seconds, Runnable action);
}
