package org.ternhinge.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Passes the requests of one inbound connection to the server's handler, one at a time. */
final class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

  /** Without validation, as all header names and values are constants or numbers. */
  private static final HttpHeadersFactory HEADERS =
      DefaultHttpHeadersFactory.headersFactory().withValidation(false);

  private final HttpServer.Handler handler;
  private final InboundConnections connections;
  private final String workersPath;
  private boolean awaitingResponse;
  private boolean fromWorker;

  /**
   * Creates the handler of one connection.
   *
   * @param workersPath path that only workers request
   */
  ServerConnection(HttpServer.Handler handler, InboundConnections connections, String workersPath) {
    this.handler = handler;
    this.connections = connections;
    this.workersPath = workersPath;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
    if (message.decoderResult().isFailure()) {
      send(ctx, Response.of(HttpResponseStatus.BAD_REQUEST.code()), false);
      return;
    }
    Request request = toRequest(message);
    boolean keepAlive = HttpUtil.isKeepAlive(message) && !exceedsWorkerLimit(ctx, request.path());
    awaitingResponse = true;
    try {
      handler.handle(
          request, response -> ctx.executor().execute(() -> send(ctx, response, keepAlive)));
    } catch (RuntimeException e) {
      LOG.error("request {} {} failed", request.method(), request.path(), e);
      send(ctx, Response.of(HttpResponseStatus.INTERNAL_SERVER_ERROR.code()), false);
    }
  }

  private static Request toRequest(FullHttpRequest message) {
    byte[] body = new byte[message.content().readableBytes()];
    message.content().readBytes(body);
    String uri = message.uri();
    int query = uri.indexOf('?');
    String path = query < 0 ? uri : uri.substring(0, query);
    return new Request(message.method().name(), path, body);
  }

  /**
   * Whether this is a worker's connection beyond the limit of persistent ones. Such workers are
   * served, but must reconnect for each request, which keeps sockets available for users and health
   * probes regardless of the number of machines.
   */
  private boolean exceedsWorkerLimit(ChannelHandlerContext ctx, String path) {
    if (!fromWorker && path.equals(workersPath)) {
      fromWorker = true;
      connections.addWorker(ctx.channel());
    }
    return fromWorker && connections.exceedsWorkerLimit();
  }

  private void send(ChannelHandlerContext ctx, Response response, boolean keepAlive) {
    awaitingResponse = false;
    if (!ctx.channel().isActive()) {
      return;
    }
    var written = ctx.writeAndFlush(toHttpMessage(response, keepAlive));
    if (!keepAlive) {
      var unused = written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private static FullHttpResponse toHttpMessage(Response response, boolean keepAlive) {
    FullHttpResponse message =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status()),
            Unpooled.wrappedBuffer(response.body()),
            HEADERS.newHeaders(),
            EmptyHttpHeaders.INSTANCE);
    message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
    message.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    if (response.retryAfterS() > 0) {
      message.headers().set(HttpHeaderNames.RETRY_AFTER, response.retryAfterS());
    }
    if (!keepAlive) {
      message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return message;
  }

  /** Closes an idle connection whose client has sent no request or only a part of one. */
  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent && !awaitingResponse) {
      Channels.close(ctx);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    LOG.debug("closing inbound connection: {}", cause.toString());
    Channels.close(ctx);
  }
}
