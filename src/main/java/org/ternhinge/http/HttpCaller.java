package org.ternhinge.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;

/**
 * HTTP requests over connections that are kept and used one request at a time. A request that was
 * written and not answered is Unknown, never failed: it may have been carried out, or may yet be.
 */
public final class HttpCaller {
  /**
   * Several of the key-value store's largest pages. Only a watch's answer has no bound of its own;
   * one of 16 MB, as a tree, would be more than the whole heap.
   */
  private static final int MAX_REPLY = 2 * 1024 * 1024;

  private static final int MAX_IDLE = 4;
  private static final double CONNECT_S = 1.5;

  private final EventLoop loop;
  private final Map<Endpoint, Deque<Channel>> idle = new HashMap<>();
  private final Map<Channel, Endpoint> leastUsed = new LinkedHashMap<>();
  private final SocketShares shares;
  private int maxIdle;

  /**
   * Creates a client without connections.
   *
   * @param shares of the sockets, for connections that are kept; with one to each of hundreds of
   *     workers and one from each, a process would come close to its sockets' limit
   */
  public HttpCaller(EventLoop loop, SocketShares shares) {
    this.loop = loop;
    this.shares = shares;
    this.maxIdle = shares.kept();
  }

  /** Connections to this process come and go; called on the event loop. */
  void beside(int connections) {
    maxIdle = shares.keptBeside(connections);
    trim();
  }

  private void trim() {
    while (leastUsed.size() > maxIdle) {
      var eldest = leastUsed.entrySet().iterator().next();
      Deque<Channel> its = idle.get(eldest.getValue());
      its.remove(eldest.getKey());
      if (its.isEmpty()) {
        idle.remove(eldest.getValue());
      }
      leastUsed.remove(eldest.getKey());
      Channels.close(eldest.getKey());
    }
  }

  /** The future completes on the event loop. */
  public CompletableFuture<Outcome<Reply>> call(
      Endpoint to, String method, String path, byte[] body, double timeoutS) {
    return call(to, method, path, body, timeoutS, CONNECT_S);
  }

  /**
   * A call to a service that may be slow to connect to. The future completes on the event loop.
   *
   * @param timeoutS for the whole call, in seconds
   * @param connectS how long a connection may take to come about; one that comes after the call's
   *     own time-out serves the next call
   */
  public CompletableFuture<Outcome<Reply>> call(
      Endpoint to, String method, String path, byte[] body, double timeoutS, double connectS) {
    return begin(new Call(to, method, path, body, () -> true), timeoutS, connectS);
  }

  /**
   * A call that is sent only if a condition holds at the moment when it could be, with a connection
   * at hand. The future completes on the event loop.
   *
   * @param maySend asked on the event loop
   */
  public CompletableFuture<Outcome<Reply>> callIf(
      BooleanSupplier maySend,
      Endpoint to,
      String method,
      String path,
      byte[] body,
      double timeoutS) {
    return begin(new Call(to, method, path, body, maySend), timeoutS, CONNECT_S);
  }

  private CompletableFuture<Outcome<Reply>> begin(Call call, double timeoutS, double connectS) {
    if (loop.inEventLoop()) {
      start(call, timeoutS, connectS);
    } else {
      loop.execute(() -> start(call, timeoutS, connectS));
    }
    return call.result;
  }

  private void start(Call call, double timeoutS, double connectS) {
    call.timer = Channels.schedule(loop, timeoutS, call::timeOut);
    Deque<Channel> kept = idle.get(call.to);
    while (kept != null && !kept.isEmpty()) {
      Channel channel = kept.pollLast();
      leastUsed.remove(channel);
      if (channel.isActive()) {
        call.send(channel);
        return;
      }
    }
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (connectS * 1000))
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    ch.pipeline()
                        .addLast(new HttpClientCodec())
                        .addLast(new HttpObjectAggregator(MAX_REPLY))
                        .addLast(new Replies());
                  }
                })
            .connect(call.to.host(), call.to.port());
    connecting.addListener(
        f -> {
          if (!f.isSuccess()) {
            call.finish(Outcome.notApplied(Reason.NO_CONNECTION, String.valueOf(f.cause())));
          } else if (call.result.isDone()) {
            keep(call.to, connecting.channel());
          } else {
            call.send(connecting.channel());
          }
        });
  }

  private void keep(Endpoint to, Channel channel) {
    Deque<Channel> kept = idle.computeIfAbsent(to, k -> new ArrayDeque<>());
    if (kept.size() >= MAX_IDLE) {
      Channels.close(channel);
    } else {
      kept.addLast(channel);
      leastUsed.put(channel, to);
      trim();
    }
  }

  /** Drops the kept connections to an address that is no longer of use. */
  public void forget(Endpoint to) {
    loop.execute(
        () -> {
          Deque<Channel> kept = idle.remove(to);
          if (kept != null) {
            kept.forEach(leastUsed::remove);
            kept.forEach(Channels::close);
          }
        });
  }

  private final class Call {
    private final Endpoint to;
    private final String method;
    private final String path;
    private final byte[] body;
    private final BooleanSupplier maySend;
    private final CompletableFuture<Outcome<Reply>> result = new CompletableFuture<>();
    private Future<?> timer;
    private Channel channel;

    Call(Endpoint to, String method, String path, byte[] body, BooleanSupplier maySend) {
      this.to = to;
      this.method = method;
      this.path = path;
      this.body = body;
      this.maySend = maySend;
    }

    void send(Channel on) {
      if (!maySend.getAsBoolean()) {
        keep(to, on);
        finish(Outcome.notApplied(Reason.WITHDRAWN, "not to be sent any more"));
        return;
      }
      channel = on;
      channel.pipeline().get(Replies.class).call = this;
      ByteBuf content = body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body);
      FullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path, content);
      request.headers().set(HttpHeaderNames.HOST, to.toString());
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
      if (body != null) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      }
      Channels.write(channel, request);
    }

    void timeOut() {
      if (channel == null) {
        finish(Outcome.notApplied(Reason.NO_CONNECTION, "no connection in time"));
      } else {
        finish(Outcome.unknown("no answer in time"));
        Channels.close(channel);
      }
    }

    void finish(Outcome<Reply> outcome) {
      timer.cancel(false);
      result.complete(outcome);
    }
  }

  private final class Replies extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Call call;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      Call answered = call;
      call = null;
      if (answered == null || response.decoderResult().isFailure()) {
        Channels.close(ctx);
        if (answered != null) {
          answered.finish(Outcome.unknown("unreadable answer"));
        }
        return;
      }
      byte[] body = new byte[response.content().readableBytes()];
      response.content().readBytes(body);
      if (HttpUtil.isKeepAlive(response)) {
        keep(answered.to, ctx.channel());
      } else {
        Channels.close(ctx);
      }
      answered.finish(Outcome.applied(new Reply(response.status().code(), body)));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (call != null) {
        Call lost = call;
        call = null;
        lost.finish(Outcome.unknown("connection lost"));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof TooLongFrameException && call != null && call.method.equals("GET")) {
        // Asking the same again would bring the same: whoever asked has to read in pages.
        Call answered = call;
        call = null;
        answered.finish(Outcome.notApplied(Reason.TOO_LARGE, "answer too large"));
      }
      Channels.close(ctx);
    }
  }
}
