package org.ternhinge.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundInvoker;
import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.ternhinge.model.AsyncCalls;

/**
 * Channel operations whose futures are not needed: a failed write or connection shows in the close
 * of its channel.
 */
public final class Channels {
  private static final double MICROS_PER_S = 1e6;

  private Channels() {}

  /** Closes a channel, given the channel or its handler context. */
  public static void close(ChannelOutboundInvoker channel) {
    var unused = channel.close();
  }

  /** Writes a message and flushes it. */
  public static void write(ChannelOutboundInvoker channel, Object message) {
    var unused = channel.writeAndFlush(message);
  }

  /** Runs an action on the channel's event loop once it is closed. */
  public static void onClose(Channel channel, Runnable action) {
    var unused = channel.closeFuture().addListener(closed -> action.run());
  }

  /** Runs an action on an event loop after a delay in seconds and logs its exceptions. */
  public static Future<?> schedule(EventLoop loop, double seconds, Runnable action) {
    long micros = (long) (seconds * MICROS_PER_S);
    return loop.schedule(AsyncCalls.logged(action), micros, TimeUnit.MICROSECONDS);
  }
}
