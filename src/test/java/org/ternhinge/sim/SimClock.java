package org.ternhinge.sim;

import java.util.PriorityQueue;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;

/**
 * A virtual clock that runs scheduled events in order of time, and events of the same time in order
 * of creation.
 */
public final class SimClock implements Clock {
  private record Event(long at, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private long nanos = 1_000_000_000L;
  private long nextOrder;

  @Override
  public MonotonicTime now() {
    return new MonotonicTime(nanos);
  }

  /** Seconds since the start of the simulation. */
  public double seconds() {
    return nanos / 1e9 - 1;
  }

  @Override
  public long wallClockMillis() {
    return 1_700_000_000_000L + nanos / 1_000_000;
  }

  @Override
  public void schedule(double seconds, Runnable action) {
    events.add(new Event(nanos + Math.max(0, (long) (seconds * 1e9)), nextOrder++, action));
  }

  /** Advances the time and runs all events that become due. */
  public void runFor(double seconds) {
    long end = nanos + (long) (seconds * 1e9);
    while (!events.isEmpty() && events.peek().at <= end) {
      Event event = events.poll();
      nanos = Math.max(nanos, event.at);
      event.action.run();
    }
    nanos = Math.max(nanos, end);
  }
}
