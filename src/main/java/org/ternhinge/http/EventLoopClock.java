package org.ternhinge.http;

import io.netty.channel.EventLoop;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;

/** System clock whose timers run on a Netty event loop. */
public final class EventLoopClock implements Clock {
  private final EventLoop loop;

  /** Creates a clock whose timers run on an event loop. */
  public EventLoopClock(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public MonotonicTime now() {
    return new MonotonicTime(System.nanoTime());
  }

  @Override
  public long wallClockMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public void schedule(double seconds, Runnable action) {
    var unused = Channels.schedule(loop, seconds, action);
  }
}
