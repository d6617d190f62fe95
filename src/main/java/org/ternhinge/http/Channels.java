package org.ternhinge.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundInvoker;
import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.ternhinge.model.AsyncCalls;

/**
 * Channel operations that discard their futures: callers detect a failed write or connection by the
 * close of the channel.
 */
public final class Channels {
  private static final double MICROS_PER_S = 1e6;

  private Channels() {}

  /** Closes a channel, given by itself or by its handler context. */
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

  /** Schedules an action on an event loop after a delay in seconds; exceptions are logged. */
  public static Future<?> schedule(EventLoop loop, double seconds, Runnable action) {
    long micros = (long) (seconds * MICROS_PER_S);
    return loop.schedule(AsyncCalls.logged(action), micros, TimeUnit.MICROSECONDS);
  }
}
