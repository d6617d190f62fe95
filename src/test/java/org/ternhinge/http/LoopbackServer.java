package org.ternhinge.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.ternhinge.model.Endpoint;

/** Loopback server that returns the same response to every request, with a client for it. */
public final class LoopbackServer implements AutoCloseable {
  private static final SocketBudget BUDGET = SocketBudget.of(64);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final PooledHttpClient client = new PooledHttpClient(group.next(), BUDGET);
  private final List<Request> requests = new CopyOnWriteArrayList<>();
  private final Endpoint endpoint;

  /** Starts a server on a free port. */
  public LoopbackServer(int status, String body) throws InterruptedException {
    Response response = Response.of(status, body.getBytes(StandardCharsets.UTF_8));
    HttpServer.Handler handler =
        (request, responder) -> {
          requests.add(request);
          responder.accept(response);
        };
    Channel channel =
        new HttpServer(group, handler, BUDGET, "/work").listen(new Endpoint("127.0.0.1", 0));
    int port = ((InetSocketAddress) channel.localAddress()).getPort();
    endpoint = new Endpoint("127.0.0.1", port);
  }

  /** A client on the same event loop. */
  public PooledHttpClient client() {
    return client;
  }

  /** The address of the server. */
  public Endpoint endpoint() {
    return endpoint;
  }

  /** The requests received so far; their paths do not include the query. */
  public List<Request> requests() {
    return requests;
  }

  @Override
  public void close() {
    var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
