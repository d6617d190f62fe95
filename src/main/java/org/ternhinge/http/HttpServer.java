package org.ternhinge.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.ternhinge.model.Endpoint;

/**
 * The HTTP server for users and workers. It limits idle time, request size and the number of
 * connections, as a protection against stalled or misbehaving clients.
 */
public final class HttpServer {
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int IDLE_TIMEOUT_S = 20;
  private static final int ACCEPT_BACKLOG = 512;

  /**
   * Initial size of the decoder buffer of a connection; small, as there are thousands of
   * connections.
   */
  private static final int INITIAL_BUFFER_BYTES = 256;

  /** Handles requests. */
  public interface Handler {
    /**
     * Handles a request; the response may be sent later and from any thread.
     *
     * @param responder receives the response; must be called exactly once
     */
    void handle(Request request, Consumer<Response> responder);
  }

  private final EventLoopGroup loop;
  private final Handler handler;
  private final String workersPath;
  private final InboundConnections connections;

  /**
   * Creates a server; {@link #listen} starts it.
   *
   * @param workersPath path that only workers request; used to recognize their connections
   */
  public HttpServer(EventLoopGroup loop, Handler handler, SocketBudget budget, String workersPath) {
    this(loop, handler, budget, workersPath, inbound -> {}, new SocketUsage());
  }

  /**
   * Creates a server that shares its socket budget and the count of open sockets with a client.
   *
   * @param workersPath path that only workers request; used to recognize their connections
   * @param client reduces its idle connections as the number of inbound connections grows
   */
  public HttpServer(
      EventLoopGroup loop,
      Handler handler,
      SocketBudget budget,
      String workersPath,
      PooledHttpClient client) {
    this(loop, handler, budget, workersPath, client::inboundConnectionsChanged, client.usage());
  }

  private HttpServer(
      EventLoopGroup loop,
      Handler handler,
      SocketBudget budget,
      String workersPath,
      IntConsumer connectionListener,
      SocketUsage usage) {
    this.loop = loop;
    this.handler = handler;
    this.workersPath = workersPath;
    this.connections = new InboundConnections(budget, connectionListener, usage);
  }

  /**
   * Binds the server to an address.
   *
   * @return the listening channel
   */
  public Channel listen(Endpoint endpoint) throws InterruptedException {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                accept(channel);
              }
            })
        .bind(endpoint.host(), endpoint.port())
        .sync()
        .channel();
  }

  private void accept(SocketChannel channel) {
    if (!connections.tryAdd(channel)) {
      Channels.close(channel);
      return;
    }
    HttpDecoderConfig decoding = new HttpDecoderConfig().setInitialBufferSize(INITIAL_BUFFER_BYTES);
    channel
        .pipeline()
        .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_S))
        .addLast(new HttpServerCodec(decoding))
        .addLast(new BoundedAggregator(MAX_BODY_BYTES))
        .addLast(new ServerConnection(handler, connections, workersPath));
  }
}
