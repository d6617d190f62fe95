package org.ternhinge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ternhinge.http.SocketUsage.Owner;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;

/** Connections to the key-value store that workers' connections must not displace. */
class ReservedConnectionsTest {
  private static final SocketBudget BUDGET = SocketBudget.of(300);
  private static final CallTimeouts TIMEOUTS = CallTimeouts.of(10);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final List<LoopbackServer> servers = new ArrayList<>();
  private final LoopbackServer store = start();
  private final PooledHttpClient client =
      new PooledHttpClient(
          loop,
          BUDGET,
          endpoint -> endpoint.equals(store.endpoint()) ? Owner.TO_STORE : Owner.TO_WORKERS);

  private LoopbackServer start() {
    try {
      LoopbackServer server = new LoopbackServer(200, "{}");
      servers.add(server);
      return server;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @AfterEach
  void tearDown() {
    servers.forEach(LoopbackServer::close);
    var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private CompletableFuture<Outcome<ClientResponse>> call(Endpoint endpoint) {
    return client.call(endpoint, Request.get("/"), TIMEOUTS);
  }

  private void callAll(List<Endpoint> endpoints) throws Exception {
    List<CompletableFuture<Outcome<ClientResponse>>> calls = new ArrayList<>();
    endpoints.forEach(endpoint -> calls.add(call(endpoint)));
    for (CompletableFuture<Outcome<ClientResponse>> call : calls) {
      call.get(30, TimeUnit.SECONDS);
    }
  }

  private int open(Owner owner) throws Exception {
    return loop.submit(() -> client.usage().of(owner)).get(30, TimeUnit.SECONDS);
  }

  /**
   * Guards against a lease renewal that fails because its connection was closed for those of
   * workers and no socket is left for a new one.
   */
  @Test
  void connectionToStoreOutlivesThoseOfManyWorkers() throws Exception {
    callAll(List.of(store.endpoint()));
    for (int i = 0; i <= BUDGET.minIdleOutbound(); i++) {
      callAll(List.of(start().endpoint()));
    }
    assertEquals(1, open(Owner.TO_STORE));
    assertEquals(BUDGET.minIdleOutbound(), open(Owner.TO_WORKERS), "idle ones are limited");
  }

  /** Guards against a new connection for each of several calls that are sent at the same time. */
  @Test
  void connectionsOfConcurrentCallsToStoreAreKept() throws Exception {
    List<Endpoint> calls = new ArrayList<>();
    for (int i = 0; i < BUDGET.maxIdleToService(); i++) {
      calls.add(store.endpoint());
    }
    callAll(calls);
    assertEquals(calls.size(), open(Owner.TO_STORE));
    callAll(calls);
    assertEquals(calls.size(), open(Owner.TO_STORE), "no others were opened");
  }
}
