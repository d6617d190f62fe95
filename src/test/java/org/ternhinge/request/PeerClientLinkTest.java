package org.ternhinge.request;

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
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ternhinge.http.EventLoopClock;
import org.ternhinge.http.HttpServer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Endpoint;
import org.ternhinge.peer.PeerLink;

/** Requests to another controller over a real link. */
class PeerClientLinkTest {
  private static final double LONG_S = 10;
  private static final double SHORT_S = 0.1;

  /** When the other controller answers, well after the short time-out. */
  private static final double ANSWER_S = 0.5;

  private static final Request UNANSWERED = Request.get("/unanswered");
  private static final Request ANSWERED = Request.get("/answered");

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Clock clock = new EventLoopClock(group.next());

  @AfterEach
  void closeEventLoop() {
    var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private PeerClient clientOf(HttpServer.Handler handler) throws InterruptedException {
    Channel channel =
        new PeerLink(group.next(), Map.of()).listen(new Endpoint("127.0.0.1", 0), handler);
    int port = ((InetSocketAddress) channel.localAddress()).getPort();
    PeerLink link = new PeerLink(group.next(), Map.of("node-1", new Endpoint("127.0.0.1", port)));
    PeerTransport transport =
        new PeerTransport() {
          @Override
          public void send(
              String node, Request request, double timeoutS, Consumer<Optional<Response>> answer) {
            link.send(node, request, timeoutS, answer);
          }

          @Override
          public void closeConnection(String node) {
            link.closeConnection(node);
          }
        };
    return new PeerClient(transport, new ReentrantLock(), new NodeConnectivity(clock, true), clock);
  }

  @Test
  void timeoutOfOneRequestLeavesTheResponsesToOthersUnderWay() throws Exception {
    PeerClient client =
        clientOf(
            (request, responder) -> {
              if (request.path().equals(ANSWERED.path())) {
                clock.schedule(ANSWER_S, () -> responder.accept(Response.of(200)));
              }
            });
    CompletableFuture<Optional<Response>> first = new CompletableFuture<>();
    CompletableFuture<Optional<Response>> second = new CompletableFuture<>();
    client.send("node-1", ANSWERED, LONG_S, first::complete);
    client.send("node-1", UNANSWERED, SHORT_S, second::complete);
    assertEquals(Optional.empty(), second.get(30, TimeUnit.SECONDS));
    assertEquals(
        Optional.of(200), first.get(30, TimeUnit.SECONDS).map(Response::status), "the other");
  }
}
