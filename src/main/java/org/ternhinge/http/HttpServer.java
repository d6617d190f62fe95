package org.ternhinge.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.model.Endpoint;

/**
 * The HTTP side towards users and workers. Guards against clients that stall in the middle of a
 * request, send too much, or hold more connections than there are sockets.
 */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final int MAX_BODY = 64 * 1024;
  private static final int STALL_S = 20;

  /** Names and values of the answers' headers are constants and numbers, which need no check. */
  private static final HttpHeadersFactory OWN_HEADERS =
      DefaultHttpHeadersFactory.headersFactory().withValidation(false);

  /** Answers requests; may answer later and from any thread. */
  public interface Handler {
    /** Answers a request, now or later, exactly once. */
    void handle(Request request, Consumer<Response> answer);
  }

  private final EventLoopGroup loop;
  private final Handler handler;
  private final SocketShares shares;
  private final String workersPath;
  private final HttpCaller caller;
  private int connections;
  private int workers;

  /**
   * Creates a server that does not listen yet.
   *
   * @param workersPath a connection that has asked for this is a worker's
   * @param caller keeps fewer connections of its own when more are open here; may be null
   */
  public HttpServer(
      EventLoopGroup loop,
      Handler handler,
      SocketShares shares,
      String workersPath,
      HttpCaller caller) {
    this.loop = loop;
    this.handler = handler;
    this.shares = shares;
    this.workersPath = workersPath;
    this.caller = caller;
  }

  private void count(int change) {
    connections += change;
    if (caller != null) {
      caller.beside(connections);
    }
  }

  /** Listens at an address. */
  public Channel listen(Endpoint endpoint) throws InterruptedException {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 512)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                accept(ch);
              }
            })
        .bind(endpoint.host(), endpoint.port())
        .sync()
        .channel();
  }

  private void accept(SocketChannel ch) {
    if (connections >= shares.all()) {
      Channels.close(ch);
      return;
    }
    count(1);
    Channels.onClose(ch, () -> count(-1));
    ch.pipeline()
        .addLast(new IdleStateHandler(0, 0, STALL_S))
        .addLast(new HttpServerCodec(new HttpDecoderConfig().setInitialBufferSize(256)))
        .addLast(new Aggregator())
        .addLast(new Connection());
  }

  /** A body that is too long will never be shorter: 400, so that the user does not try again. */
  private static final class Aggregator extends HttpObjectAggregator {
    Aggregator() {
      super(MAX_BODY);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
      FullHttpResponse refusal =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST);
      refusal.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
      refusal.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      ctx.writeAndFlush(refusal).addListener(ChannelFutureListener.CLOSE);
    }
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private boolean busy;
    private boolean worker;

    /**
     * Workers beyond their share are served, and have to connect anew each time: users and probes
     * find a socket however many machines there are.
     */
    private boolean beyondShare(ChannelHandlerContext ctx, String path) {
      if (!worker && path.equals(workersPath)) {
        worker = true;
        workers++;
        ctx.channel().closeFuture().addListener(f -> workers--);
      }
      return worker && workers > shares.workers();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      if (request.decoderResult().isFailure()) {
        send(ctx, Response.of(400), false);
        return;
      }
      byte[] body = new byte[request.content().readableBytes()];
      request.content().readBytes(body);
      String uri = request.uri();
      int query = uri.indexOf('?');
      String path = query < 0 ? uri : uri.substring(0, query);
      boolean keep = HttpUtil.isKeepAlive(request) && !beyondShare(ctx, path);
      busy = true;
      try {
        handler.handle(
            new Request(request.method().name(), path, body),
            r -> ctx.executor().execute(() -> send(ctx, r, keep)));
      } catch (RuntimeException e) {
        LOG.error("request {} {} failed", request.method(), path, e);
        send(ctx, Response.of(500), false);
      }
    }

    private void send(ChannelHandlerContext ctx, Response response, boolean keep) {
      busy = false;
      if (!ctx.channel().isActive()) {
        return;
      }
      FullHttpResponse message =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(response.status()),
              Unpooled.wrappedBuffer(response.body()),
              OWN_HEADERS.newHeaders(),
              EmptyHttpHeaders.INSTANCE);
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
      message.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
      if (response.retryAfterS() > 0) {
        message.headers().set(HttpHeaderNames.RETRY_AFTER, response.retryAfterS());
      }
      if (!keep) {
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      var done = ctx.writeAndFlush(message);
      if (!keep) {
        var unused = done.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof IdleStateEvent && !busy) {
        Channels.close(ctx);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("connection failed: {}", cause.toString());
      Channels.close(ctx);
    }
  }
}
