package org.ternhinge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;

/**
 * A call of {@link PooledHttpClient} that has no outcome yet. Confined to the event loop, except
 * for {@link #result()}.
 */
final class PendingCall {
  private final Endpoint endpoint;
  private final Request request;
  private final BooleanSupplier maySend;
  private final CompletableFuture<Outcome<ClientResponse>> result = new CompletableFuture<>();
  private Future<?> timer;

  /** The connection that the request was written to; null until then. */
  private Channel channel;

  /**
   * Creates a call without sending it.
   *
   * @param maySend condition that must hold immediately before the request is written
   */
  PendingCall(Endpoint endpoint, Request request, BooleanSupplier maySend) {
    this.endpoint = endpoint;
    this.request = request;
    this.maySend = maySend;
  }

  Endpoint endpoint() {
    return endpoint;
  }

  CompletableFuture<Outcome<ClientResponse>> result() {
    return result;
  }

  boolean isDone() {
    return result.isDone();
  }

  boolean isGet() {
    return request.method().equals("GET");
  }

  boolean maySend() {
    return maySend.getAsBoolean();
  }

  /** Starts the timer of the call time-out. */
  void startTimer(EventLoop loop, double timeoutS) {
    timer = Channels.schedule(loop, timeoutS, this::timeOut);
  }

  /** Writes the request to a connection. */
  void write(Channel connection) {
    channel = connection;
    byte[] body = request.body();
    boolean hasBody = body.length > 0;
    ByteBuf content = hasBody ? Unpooled.wrappedBuffer(body) : Unpooled.EMPTY_BUFFER;
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.path(), content);
    message.headers().set(HttpHeaderNames.HOST, endpoint.toString());
    message.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    if (hasBody) {
      message.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }
    Channels.write(channel, message);
  }

  private void timeOut() {
    if (channel == null) {
      complete(Outcome.notApplied(Reason.NO_CONNECTION, "no connection within the time-out"));
    } else {
      complete(Outcome.unknown("no response within the time-out"));
      Channels.close(channel);
    }
  }

  /** Completes the call; later outcomes are ignored. */
  void complete(Outcome<ClientResponse> outcome) {
    timer.cancel(false);
    result.complete(outcome);
  }
}
