package org.ternhinge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.SimMachineTypes;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyCondition;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.WireException;

/**
 * Fakes of the key-value store and the cloud over HTTP on loopback; the cloud provisions no
 * machines.
 */
final class LoopbackServices implements AutoCloseable {
  private static final String NODE_PREFIX = "node-";

  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
  private final ExecutorService requests = Executors.newCachedThreadPool();
  private final InMemoryStore store = new InMemoryStore(new RealClock());
  private final List<HttpServer> servers = new ArrayList<>();
  private final List<String> zones;
  private final LoopbackStoreFaults faults;

  /** The machines that the cloud lists, or null if it has none. */
  private volatile LoopbackFleet fleet;

  /** Starts the services; each controller has its own port, by which it is told from the others. */
  LoopbackServices(List<String> zones, int controllers) throws IOException {
    this.zones = zones;
    this.faults = new LoopbackStoreFaults(store, timers, this);
    for (int i = 0; i < controllers; i++) {
      int controller = i;
      HttpServer server =
          HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
      server.setExecutor(requests);
      server.createContext("/", exchange -> serve(exchange, controller));
      server.start();
      servers.add(server);
    }
  }

  /** Faults of the key-value store. */
  LoopbackStoreFaults faults() {
    return faults;
  }

  /** Sets the machines that the cloud lists. */
  void setFleet(LoopbackFleet machines) {
    fleet = machines;
  }

  /** The port of both services for a controller. */
  int port(int controller) {
    return servers.get(controller).getAddress().getPort();
  }

  /** Returns the number of the leading node, or -1 if there is none. */
  synchronized int leader() {
    return store
        .get("leader")
        .entry()
        .map(entry -> entry.value().path("node").asText().substring(NODE_PREFIX.length()))
        .map(Integer::parseInt)
        .orElse(-1);
  }

  @Override
  public void close() {
    servers.forEach(server -> server.stop(0));
    requests.shutdownNow();
    timers.shutdownNow();
  }

  /** The clock of this machine; its timers run with the lock held. */
  private final class RealClock implements Clock {
    @Override
    public MonotonicTime now() {
      return new MonotonicTime(System.nanoTime());
    }

    @Override
    public long wallClockMillis() {
      return System.currentTimeMillis();
    }

    @Override
    public void schedule(double seconds, Runnable action) {
      var unused =
          timers.schedule(() -> runLocked(action), (long) (seconds * 1000), TimeUnit.MILLISECONDS);
    }
  }

  private synchronized void runLocked(Runnable action) {
    action.run();
  }

  private void serve(HttpExchange exchange, int controller) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    try {
      answer(exchange, controller, body);
    } catch (WireException e) {
      reply(exchange, 400, Json.object());
    }
  }

  private static void reply(HttpExchange exchange, int status, JsonNode value) throws IOException {
    byte[] bytes = Json.bytes(value);
    exchange.sendResponseHeaders(status, bytes.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(bytes);
    }
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> out = new HashMap<>();
    String query = exchange.getRequestURI().getQuery();
    for (String part : query == null ? new String[0] : query.split("&")) {
      int eq = part.indexOf('=');
      out.put(part.substring(0, eq), part.substring(eq + 1));
    }
    return out;
  }

  private static ObjectNode entry(Entry entry) {
    ObjectNode out = Json.object().put("path", entry.key());
    out.set("v", entry.value());
    return out.put("utgafunumer", entry.revision().value());
  }

  private void answer(HttpExchange exchange, int controller, byte[] body)
      throws IOException, WireException {
    String path = exchange.getRequestURI().getPath();
    Map<String, String> query = query(exchange);
    if (path.equals("/flavors")) {
      reply(exchange, 200, MachineType.writeAll(SimMachineTypes.in(zones)));
    } else if (path.equals("/hosts") && exchange.getRequestMethod().equals("GET")) {
      ObjectNode none = Json.object().put("more", false);
      none.putArray("velar");
      reply(exchange, 200, fleet == null ? none : fleet.list(query.get("from")));
    } else if (path.equals("/hosts/release")) {
      release(Json.parse(body));
      reply(exchange, 200, Json.object());
    } else if (path.equals("/hosts")) {
      reply(exchange, 503, Json.object().put("error", "no capacity"));
    } else if (faults.refuses(controller)) {
      reply(exchange, 503, Json.object());
    } else if (path.equals("/follow")) {
      watch(exchange, query, () -> faults.refuses(controller));
    } else if (path.equals("/txn") && faults.withholdsAnswer(exchange, readCompareAndSwap(body))) {
      return;
    } else {
      synchronized (this) {
        serveStore(exchange, path, query, body);
      }
    }
  }

  private void release(JsonNode body) throws WireException {
    List<MachineId> ids = new ArrayList<>();
    for (JsonNode id : Json.list(body, "velar")) {
      ids.add(new MachineId(id.asText()));
    }
    if (fleet != null) {
      fleet.release(ids);
    }
  }

  private void serveStore(
      HttpExchange exchange, String path, Map<String, String> query, byte[] body)
      throws IOException, WireException {
    if (path.equals("/keys")) {
      KeyValueStore.Page page =
          store.list(query.get("prefix"), query.get("from"), Integer.parseInt(query.get("page")));
      ObjectNode out = Json.object().put("more", page.more());
      ArrayNode rows = out.putArray("rows");
      page.entries().forEach(e -> rows.add(entry(e)));
      reply(exchange, 200, out.put("breytingatal", page.revision().value()));
    } else if (path.startsWith("/keys/")) {
      var found = store.get(path.substring(6)).entry();
      reply(
          exchange,
          found.isPresent() ? 200 : 404,
          found.map(LoopbackServices::entry).orElse(Json.object()));
    } else if (path.equals("/txn")) {
      replyWithOutcome(
          exchange,
          store.compareAndSwap(readCompareAndSwap(body)).map(Revision::value),
          "breytingatal");
    } else if (path.equals("/holds")) {
      long life = Json.count(Json.parse(body), "life_ms");
      reply(exchange, 200, Json.object().put("leiga", store.grantLease(life)));
    } else if (path.endsWith("/extend")) {
      long id = Long.parseLong(path.split("/", -1)[2]);
      replyWithOutcome(exchange, store.renewLease(id), "leiga");
    } else {
      store.revokeLease(Long.parseLong(path.split("/", -1)[2]));
      reply(exchange, 200, Json.object());
    }
  }

  private static void replyWithOutcome(HttpExchange exchange, Outcome<Long> outcome, String field)
      throws IOException {
    if (outcome instanceof Outcome.Applied<Long> a) {
      reply(exchange, 200, Json.object().put(field, a.value()));
    } else {
      boolean notFound = outcome.isNotApplied(Outcome.Reason.NOT_FOUND);
      ObjectNode out = Json.object();
      out.putArray("failed");
      reply(exchange, notFound ? 404 : 409, out);
    }
  }

  private static CompareAndSwap readCompareAndSwap(byte[] body) throws WireException {
    JsonNode json = Json.parse(body);
    List<KeyCondition> conditions = new ArrayList<>();
    for (JsonNode c : json.path("if")) {
      Revision expected = new Revision(Json.count(c, "utgafunumer"));
      conditions.add(new KeyCondition(Json.text(c, "path"), expected));
    }
    List<Change> changes = new ArrayList<>();
    for (JsonNode c : json.path("then")) {
      Optional<String> set = Json.optionalText(c, "set");
      changes.add(
          set.isEmpty()
              ? new Change.Delete(Json.text(c, "remove"))
              : new Change.Put(set.get(), c.get("v"), c.path("leiga").asLong()));
    }
    return new CompareAndSwap(conditions, changes);
  }

  private void watch(HttpExchange exchange, Map<String, String> query, BooleanSupplier suspended)
      throws IOException {
    List<KeyValueStore.WatchResult> results = new ArrayList<>();
    Object resultLock = new Object();
    synchronized (this) {
      store.watch(
          query.get("prefix"),
          Long.parseLong(query.get("from")),
          Integer.parseInt(query.get("wait_ms")) / 1000.0,
          suspended,
          c -> {
            synchronized (resultLock) {
              results.add(c);
              resultLock.notifyAll();
            }
          });
    }
    synchronized (resultLock) {
      while (results.isEmpty()) {
        try {
          resultLock.wait();
        } catch (InterruptedException e) {
          return;
        }
      }
    }
    ObjectNode out = Json.object().put("breytingatal", results.get(0).revision().value());
    ArrayNode log = out.putArray("log");
    for (Change.Observed c : results.get(0).changes()) {
      ObjectNode item = log.addObject().put("utgafunumer", c.revision().value());
      if (c.value() == null) {
        item.put("remove", c.key());
      } else {
        item.put("set", c.key()).set("v", c.value());
      }
    }
    reply(exchange, 200, out);
  }
}
