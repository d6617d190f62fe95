package org.ternhinge.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;

/**
 * An HTTP client with persistent connections, each of which serves one request at a time.
 *
 * <p>Thread-safe. A connection that is established after the time-out of its call is kept for later
 * calls. The future of a call completes on the event loop and never exceptionally. A request that
 * was written but not answered ends as {@link Outcome.Unknown} rather than as a failure, because it
 * may have been carried out, or may still be.
 */
public final class PooledHttpClient {
  /**
   * Maximum response size, several times the largest page of the key-value store. Only responses to
   * watches have no bound of their own, and the JSON tree of a 16 MB response would exceed the
   * heap.
   */
  private static final int MAX_RESPONSE_BYTES = 2 * 1024 * 1024;

  private static final int MILLIS_PER_S = 1000;

  private final EventLoop loop;
  private final SocketBudget budget;
  private final ConnectionPool pool;
  private final SocketUsage usage = new SocketUsage();
  private final Function<Endpoint, SocketUsage.Owner> ownerOf;

  /**
   * Creates a client without connections.
   *
   * @param budget limits the idle connections. With one connection to and one from each of hundreds
   *     of workers, the process would come close to its socket limit
   */
  public PooledHttpClient(EventLoop loop, SocketBudget budget) {
    this(loop, budget, endpoint -> SocketUsage.Owner.TO_WORKERS);
  }

  /**
   * Creates a client without connections.
   *
   * @param ownerOf what the connections to an endpoint are used for; idle ones to other endpoints
   *     than workers are kept however many workers there are
   */
  public PooledHttpClient(
      EventLoop loop, SocketBudget budget, Function<Endpoint, SocketUsage.Owner> ownerOf) {
    this.loop = loop;
    this.ownerOf = ownerOf;
    this.budget = budget;
    this.pool =
        new ConnectionPool(
            budget.minIdleOutbound(),
            endpoint -> ownerOf.apply(endpoint) != SocketUsage.Owner.TO_WORKERS,
            budget.maxIdleToService());
  }

  /** The count of open sockets of this process; used on the event loop. */
  public SocketUsage usage() {
    return usage;
  }

  /** Adjusts the limit of idle connections to the number of inbound ones; on the event loop. */
  void inboundConnectionsChanged(int inbound) {
    pool.setMaxIdle(budget.maxIdleOutbound(inbound));
  }

  /** Sends a request. */
  public CompletableFuture<Outcome<ClientResponse>> call(
      Endpoint endpoint, Request request, CallTimeouts timeouts) {
    return start(new PendingCall(endpoint, request, () -> true), timeouts);
  }

  /**
   * Sends a request if a condition holds when a connection is available; otherwise the call ends
   * with {@link Reason#WITHDRAWN}.
   *
   * @param maySend evaluated on the event loop
   */
  public CompletableFuture<Outcome<ClientResponse>> callIf(
      BooleanSupplier maySend, Endpoint endpoint, Request request, CallTimeouts timeouts) {
    return start(new PendingCall(endpoint, request, maySend), timeouts);
  }

  private CompletableFuture<Outcome<ClientResponse>> start(
      PendingCall call, CallTimeouts timeouts) {
    if (loop.inEventLoop()) {
      startOnLoop(call, timeouts);
    } else {
      loop.execute(() -> startOnLoop(call, timeouts));
    }
    return call.result();
  }

  private void startOnLoop(PendingCall call, CallTimeouts timeouts) {
    call.startTimer(loop, timeouts.callS());
    pool.poll(call.endpoint())
        .ifPresentOrElse(channel -> send(call, channel), () -> connect(call, timeouts.connectS()));
  }

  private void connect(PendingCall call, double connectTimeoutS) {
    ChannelFuture connectFuture =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (connectTimeoutS * MILLIS_PER_S))
            .handler(initializer(ownerOf.apply(call.endpoint())))
            .connect(call.endpoint().host(), call.endpoint().port());
    connectFuture.addListener(
        done -> {
          if (!done.isSuccess()) {
            usage.logIfExhausted(done.cause(), call.endpoint());
            call.complete(Outcome.notApplied(Reason.NO_CONNECTION, String.valueOf(done.cause())));
          } else if (call.isDone()) {
            pool.release(call.endpoint(), connectFuture.channel());
          } else {
            send(call, connectFuture.channel());
          }
        });
  }

  private ChannelInitializer<SocketChannel> initializer(SocketUsage.Owner owner) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        usage.track(channel, owner);
        channel
            .pipeline()
            .addLast(new HttpClientCodec())
            .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
            .addLast(new ClientResponseHandler(pool));
      }
    };
  }

  private void send(PendingCall call, Channel channel) {
    if (!call.maySend()) {
      pool.release(call.endpoint(), channel);
      call.complete(Outcome.notApplied(Reason.WITHDRAWN, "condition for sending no longer holds"));
      return;
    }
    channel.pipeline().get(ClientResponseHandler.class).expect(call);
    call.write(channel);
  }

  /** Closes the idle connections to an endpoint that is no longer used. */
  public void closeIdleConnections(Endpoint endpoint) {
    loop.execute(() -> pool.closeAll(endpoint));
  }
}
