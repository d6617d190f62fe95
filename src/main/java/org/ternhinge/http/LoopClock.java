package org.ternhinge.http;

import io.netty.channel.EventLoop;
import org.ternhinge.model.Clock;
import org.ternhinge.model.SteadyTime;

/** The system's clock, with timers that run on the event loop. */
public final class LoopClock implements Clock {
  private final EventLoop loop;

  /** Creates a clock whose timers run on an event loop. */
  public LoopClock(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public SteadyTime now() {
    return new SteadyTime(System.nanoTime());
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public void after(double seconds, Runnable action) {
    var unused = Channels.schedule(loop, seconds, action);
  }
}
