package org.ternhinge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;

/**
 * Limits on sockets and response sizes, conditional calls and the retry header, over loopback.
 * Results do not depend on timing.
 */
class HttpClientServerTest {
  private static final CallTimeouts TIMEOUTS = CallTimeouts.of(20);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<Socket> sockets = new ArrayList<>();
  private Endpoint serverEndpoint;

  private void serve(SocketBudget budget, int replyBytes) throws InterruptedException {
    serve(budget, Response.of(200, new byte[replyBytes]));
  }

  private void serve(SocketBudget budget, Response response) throws InterruptedException {
    Channel channel =
        new HttpServer(group, (request, responder) -> responder.accept(response), budget, "/work")
            .listen(new Endpoint("127.0.0.1", 0));
    serverEndpoint =
        new Endpoint("127.0.0.1", ((InetSocketAddress) channel.localAddress()).getPort());
  }

  @AfterEach
  void closeSocketsAndEventLoop() throws IOException {
    for (Socket s : sockets) {
      s.close();
    }
    var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Machine counts are those of the deployments plus 50 percent. */
  @ParameterizedTest(name = "{0} sockets, {1} machines")
  @CsvSource({"1500, 860", "1800, 1240", "2219, 1526", "2885, 1695", "64, 1", "8, 1"})
  void budgetReservesSocketsForUsersWithinTheLimit(int limit, int machines) {
    SocketBudget budget = SocketBudget.of(limit);
    assertTrue(
        budget.maxPersistentWorkers() >= machines,
        budget.maxPersistentWorkers() + " persistent connections for workers");
    assertTrue(
        budget.maxInbound() > budget.maxPersistentWorkers(), "sockets are reserved for users");
    for (int open = 0; open <= budget.maxInbound(); open++) {
      assertTrue(
          budget.maxIdleOutbound(open) + open + budget.maxOutboundCalls() <= limit,
          open + " open, of " + budget);
      assertTrue(budget.maxIdleOutbound(open) >= budget.minIdleOutbound());
    }
  }

  /** Sends a request; returns whether the server keeps the connection, or null if it was closed. */
  private Boolean keepsConnectionAfterRequest(Socket socket, String path) throws IOException {
    socket.setSoTimeout(20_000);
    String request = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    StringBuilder head = new StringBuilder();
    try {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      while (head.indexOf("\r\n\r\n") < 0) {
        int character = in.read();
        if (character < 0) {
          return null;
        }
        head.append((char) character);
      }
    } catch (IOException e) {
      return null;
    }
    assertTrue(head.toString().startsWith("HTTP/1.1 200"), head.toString());
    return !head.toString().toLowerCase(Locale.ROOT).contains("connection: close");
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(serverEndpoint.host(), serverEndpoint.port());
    sockets.add(socket);
    return socket;
  }

  @Test
  void workersBeyondTheirLimitAreServedWithoutKeepAlive() throws Exception {
    serve(new SocketBudget(1, 1, 2, 4), 0);
    Socket first = connect();
    Socket second = connect();
    assertTrue(keepsConnectionAfterRequest(first, "/work"));
    assertTrue(keepsConnectionAfterRequest(second, "/work"));
    for (int i = 0; i < 5; i++) {
      assertFalse(
          keepsConnectionAfterRequest(connect(), "/work"),
          "beyond the limit: answered, then closed");
    }
    assertTrue(
        keepsConnectionAfterRequest(first, "/work"), "connections within the limit are kept");
    Socket user = connect();
    assertTrue(keepsConnectionAfterRequest(user, "/"), "a user can connect");
    assertTrue(keepsConnectionAfterRequest(user, "/"));
    assertTrue(keepsConnectionAfterRequest(connect(), "/"));
    assertEquals(
        null,
        keepsConnectionAfterRequest(connect(), "/"),
        "beyond the limit of all connections: closed without a response");
  }

  /** Responses to watches of the key-value store have no size limit of their own. */
  @Test
  void oversizedResponseFailsAReadAndLeavesAWriteUnknown() throws Exception {
    serve(SocketBudget.of(64), 3 << 20);
    PooledHttpClient client = new PooledHttpClient(group.next(), SocketBudget.of(64));
    Outcome<ClientResponse> read =
        client.call(serverEndpoint, Request.get("/"), TIMEOUTS).get(30, TimeUnit.SECONDS);
    assertTrue(read.isNotApplied(Reason.TOO_LARGE), read.toString());
    Outcome<ClientResponse> write =
        client
            .call(serverEndpoint, Request.post("/", new byte[2]), TIMEOUTS)
            .get(30, TimeUnit.SECONDS);
    assertTrue(write instanceof Outcome.Unknown, "it may have been carried out");
  }

  /** Guards against sending commands after the leadership has expired. */
  @ParameterizedTest(name = "condition holds: {0}, on a pooled connection: {1}")
  @CsvSource({"true, false", "false, false", "true, true", "false, true"})
  void callIsWithdrawnUnlessItsConditionHolds(boolean maySend, boolean pooled) throws Exception {
    AtomicInteger requestCount = new AtomicInteger();
    Channel channel =
        new HttpServer(
                group,
                (request, responder) -> {
                  requestCount.incrementAndGet();
                  responder.accept(Response.of(200));
                },
                SocketBudget.of(64),
                "/work")
            .listen(new Endpoint("127.0.0.1", 0));
    serverEndpoint =
        new Endpoint("127.0.0.1", ((InetSocketAddress) channel.localAddress()).getPort());
    PooledHttpClient client = new PooledHttpClient(group.next(), SocketBudget.of(64));
    if (pooled) {
      client.call(serverEndpoint, Request.get("/"), TIMEOUTS).get(30, TimeUnit.SECONDS);
    }
    Outcome<ClientResponse> outcome =
        client
            .callIf(() -> maySend, serverEndpoint, Request.post("/", new byte[2]), TIMEOUTS)
            .get(30, TimeUnit.SECONDS);
    assertEquals(maySend, outcome instanceof Outcome.Applied);
    assertEquals(!maySend, outcome.isNotApplied(Reason.WITHDRAWN));
    // The connection remains usable for the next call.
    client.call(serverEndpoint, Request.get("/"), TIMEOUTS).get(30, TimeUnit.SECONDS);
    assertEquals((pooled ? 1 : 0) + (maySend ? 1 : 0) + 1, requestCount.get());
  }

  /** A retry time of 0 omits the header. */
  @ParameterizedTest(name = "{0}, retry after {1} s")
  @CsvSource({"503, 1, 1", "503, 17, 17", "503, 0, ", "200, 0, ", "422, 0, "})
  void retryAfterHeaderIsSentOnlyWithARetryTime(int status, int retryAfterS, String header)
      throws Exception {
    serve(SocketBudget.of(64), new Response(status, new byte[2], retryAfterS));
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://" + serverEndpoint.host() + ":" + serverEndpoint.port() + "/"))
            .version(HttpClient.Version.HTTP_1_1)
            .build();
    HttpResponse<String> response =
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    assertEquals(status, response.statusCode());
    assertEquals(Optional.ofNullable(header), response.headers().firstValue("Retry-After"));
  }
}
