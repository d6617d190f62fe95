package org.ternhinge.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ternhinge.http.HttpServer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.Endpoint;

/** Requests between controllers over loopback. Results do not depend on timing. */
class PeerLinkTest {
  private static final double LONG_S = 20;
  private static final double SHORT_S = 0.05;
  private static final Request REQUEST = Request.post("/submissions", new byte[] {1, 2});

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void closeEventLoop() {
    var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Creates a link to one other node, whose requests are handled by the given handler. */
  private PeerLink linkTo(String node, HttpServer.Handler handler) throws InterruptedException {
    Channel channel =
        new PeerLink(group.next(), Map.of()).listen(new Endpoint("127.0.0.1", 0), handler);
    int port = ((InetSocketAddress) channel.localAddress()).getPort();
    return new PeerLink(group.next(), Map.of(node, new Endpoint("127.0.0.1", port)));
  }

  private static Optional<Response> send(PeerLink link, String node, double timeoutS)
      throws Exception {
    CompletableFuture<Optional<Response>> result = new CompletableFuture<>();
    link.send(node, REQUEST, timeoutS, result::complete);
    return result.get(30, TimeUnit.SECONDS);
  }

  @Test
  void responseReachesTheRequestingNode() throws Exception {
    PeerLink link =
        linkTo(
            "node-1", (request, responder) -> responder.accept(Response.of(201, request.body())));
    for (int i = 0; i < 2; i++) {
      Response response = send(link, "node-1", LONG_S).orElseThrow();
      assertEquals(201, response.status());
      assertArrayEquals(REQUEST.body(), response.body());
      link.closeConnection("node-1");
    }
  }

  @Test
  void timedOutRequestEndsWithoutAResponse() throws Exception {
    PeerLink link = linkTo("node-1", (request, responder) -> {});
    assertEquals(Optional.empty(), send(link, "node-1", SHORT_S));
  }

  @Test
  void requestToAnUnknownNodeEndsWithoutAResponse() throws Exception {
    PeerLink link = linkTo("node-1", (request, responder) -> {});
    assertEquals(Optional.empty(), send(link, "node-2", LONG_S));
  }
}
