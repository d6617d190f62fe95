package org.ternhinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.Specs;
import org.ternhinge.sim.StoreCore;
import org.ternhinge.state.Change;
import org.ternhinge.state.Entry;
import org.ternhinge.state.StateStore;
import org.ternhinge.state.Txn;
import org.ternhinge.wire.Flavor;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/** The packaged program as three processes on loopback, with stand-ins for what is around them. */
class LoopbackIT {
  private static final long PATIENCE_S = 60;

  @TempDir Path dir;
  private final List<Process> processes = new ArrayList<>();
  private final List<Path> settings = new ArrayList<>();
  private final int[] ports = new int[6];
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private HttpServer outside;
  private StoreCore store;

  /** The real clock, for the stand-in's leases. */
  private final class RealClock implements Clock {
    @Override
    public SteadyTime now() {
      return new SteadyTime(System.nanoTime());
    }

    @Override
    public long wallMillis() {
      return System.currentTimeMillis();
    }

    @Override
    public void after(double seconds, Runnable action) {
      var unused =
          timers.schedule(
              () -> {
                synchronized (LoopbackIT.this) {
                  action.run();
                }
              },
              (long) (seconds * 1000),
              TimeUnit.MILLISECONDS);
    }
  }

  @AfterEach
  void end() {
    processes.forEach(Process::destroyForcibly);
    if (outside != null) {
      outside.stop(0);
    }
    timers.shutdownNow();
  }

  @Test
  void threeProcessesKeepAJobThroughKills() throws Exception {
    store = new StoreCore(new RealClock());
    outside = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    outside.setExecutor(Executors.newCachedThreadPool());
    outside.createContext("/", this::outside);
    outside.start();
    for (int i = 0; i < 6; i++) {
      try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        ports[i] = s.getLocalPort();
      }
    }
    for (int i = 0; i < 3; i++) {
      settings.add(dir.resolve("node-" + i + ".json"));
      Files.write(settings.get(i), Json.bytes(settingsOf(i)));
      processes.add(start(i));
    }
    for (int i = 0; i < 3; i++) {
      int node = i;
      until("node " + i + " is healthy", () -> status(node, "GET", "/healthz", null) == 200);
    }
    byte[] job = Json.bytes(Specs.json("wk-000001", "batch", 3));
    ObjectNode stranger = Specs.json("wk-000002", "batch", 3).put("eigandi", "nobody");
    assertEquals(400, status(0, "POST", "/submissions", "{".getBytes(StandardCharsets.UTF_8)));
    assertEquals(400, status(1, "POST", "/submissions", new byte[80_000]));
    // Both ask the state service first, whose tokens a start uses up for a moment.
    until("422", () -> status(1, "POST", "/submissions", Json.bytes(stranger)) == 422);
    until("404", () -> status(2, "GET", "/submissions/wk-000009", null) == 404);
    assertEquals(404, status(2, "GET", "/else", null));
    assertEquals(405, status(2, "GET", "/submissions", null));
    until("the job is accepted", () -> status(0, "POST", "/submissions", job) == 201);
    until("a repeat is known", () -> status(1, "POST", "/submissions", job) == 200);
    try (Socket stalled = new Socket(InetAddress.getLoopbackAddress(), ports[0])) {
      stalled
          .getOutputStream()
          .write("POST /submissions HTTP/1.1\r\nCont".getBytes(StandardCharsets.US_ASCII));
      assertEquals(200, status(0, "GET", "/healthz", null), "a stalled client stops nobody");
    }

    ObjectNode second = Specs.json("wk-000003", "batch", 3);
    second.putArray("bidur_eftir").add("wk-000001");
    ObjectNode third = Specs.json("wk-000004", "group", 2);
    third.putArray("bidur_eftir").add("wk-000001").add("wk-000003");
    ObjectNode lost = Specs.json("wk-000005", "batch", 3);
    lost.putArray("bidur_eftir").add("wk-000099");
    ObjectNode noList = Specs.json("wk-000006", "batch", 3).put("bidur_eftir", "wk-000001");
    until("422", () -> status(1, "POST", "/submissions", Json.bytes(lost)) == 422);
    assertEquals(400, status(1, "POST", "/submissions", Json.bytes(noList)));
    until("the next one", () -> status(1, "POST", "/submissions", Json.bytes(second)) == 201);
    until("the last one", () -> status(2, "POST", "/submissions", Json.bytes(third)) == 201);
    until("it waits", () -> body(0, "/submissions/wk-000004").contains("queued"));

    int leader = leader();
    processes.get(leader).destroyForcibly().waitFor();
    int other = (leader + 1) % 3;
    until("the job is known", () -> status(other, "GET", "/submissions/wk-000001", null) == 200);
    until("another leads", () -> leaderOrNone() >= 0 && leaderOrNone() != leader);
    until(
        "the job is cancelled",
        () -> status(other, "POST", "/submissions/wk-000001/cancel", null) == 200);
    until(
        "with it all that depend on it",
        () ->
            body(other, "/submissions/wk-000003").contains("cancelled")
                && body(
                        (other + 1) % 3 == leader ? other : (other + 1) % 3,
                        "/submissions/wk-000004")
                    .contains("cancelled"));
    for (Process p : processes) {
      p.destroyForcibly().waitFor();
    }
    processes.set(leader, start(leader));
    until(
        "one restarted process remembers",
        () ->
            body(leader, "/submissions/wk-000001").contains("cancelled")
                && body(leader, "/submissions/wk-000004").contains("cancelled"));
    assertTrue(processes.get(leader).isAlive());
  }

  @Test
  void badSettingsEndTheProgramWithOneClearLine() throws Exception {
    Path bad = dir.resolve("bad.json");
    Files.writeString(bad, "{\"node\":\"a\"}");
    Process process = run(List.of("--config", bad.toString()));
    String said = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(2, process.waitFor());
    assertTrue(said.contains("external: an object is needed"), said);
    Process version = run(List.of("--version"));
    String line = new String(version.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(0, version.waitFor());
    assertTrue(line.startsWith("ternhinge 0."), line);
  }

  // ---- processes --------------------------------------------------------------------------------

  private Process run(List<String> args) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx96m", "-jar", "target/ternhinge.jar"));
    command.addAll(args);
    Process process = new ProcessBuilder(command).start();
    processes.add(process);
    return process;
  }

  private Process start(int node) throws IOException {
    Process process = run(List.of("--config", settings.get(node).toString()));
    processes.remove(process);
    InputStream log = process.getErrorStream();
    Thread drain =
        new Thread(
            () -> {
              try {
                log.transferTo(OutputStream.nullOutputStream());
              } catch (IOException e) {
                Thread.currentThread().interrupt();
              }
            });
    drain.setDaemon(true);
    drain.start();
    return process;
  }

  private ObjectNode settingsOf(int node) {
    ObjectNode root = Json.object().put("node", "node-" + node).put("site", "east");
    root.put("client_listen", "127.0.0.1:" + ports[node]);
    root.put("peer_listen", "127.0.0.1:" + ports[3 + node]);
    ArrayNode peers = root.putArray("peers");
    for (int k = 0; k < 3; k++) {
      if (k != node) {
        peers.addObject().put("node", "node-" + k).put("endpoint", "127.0.0.1:" + ports[3 + k]);
      }
    }
    String at = "127.0.0.1:" + outside.getAddress().getPort();
    root.putObject("external").put("cloud", at).put("state", at);
    ObjectNode deployment = root.putObject("deployment");
    deployment.putArray("zones").add("east").add("west");
    deployment.putArray("teams").addObject().put("name", "red").put("cpus", 4).put("cpus_max", 8);
    ObjectNode workers = deployment.putObject("workers").put("report_s", 3).put("lease_s", 24);
    workers.put("gang_wait_s", 30).put("gang_peer_s", 5).put("cancel_s", 44);
    deployment
        .putObject("state")
        .put("rps", 200)
        .put("write_rps", 60)
        .put("value_kb", 8)
        .put("txn_ops", 16);
    deployment.putObject("cloud").put("rps", 4).put("list_lag_s", 10);
    return root;
  }

  private void until(String what, BooleanSupplier holds) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
    while (!holds.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "in vain: " + what);
      Thread.sleep(100);
    }
  }

  private HttpResponse<String> ask(int node, String method, String path, byte[] body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + ports[node] + path))
            .timeout(Duration.ofSeconds(6))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      return null;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private int status(int node, String method, String path, byte[] body) {
    HttpResponse<String> response = ask(node, method, path, body);
    return response == null ? 0 : response.statusCode();
  }

  private String body(int node, String path) {
    HttpResponse<String> response = ask(node, "GET", path, null);
    return response == null ? "" : response.body();
  }

  private synchronized int leaderOrNone() {
    return store
        .get("leader")
        .entry()
        .map(e -> Integer.parseInt(e.value().path("node").asText().substring(5)))
        .orElse(-1);
  }

  private int leader() throws InterruptedException {
    until("somebody leads", () -> leaderOrNone() >= 0);
    return leaderOrNone();
  }

  // ---- the state service and a cloud without machines, over HTTP --------------------------------

  private void outside(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    try {
      answer(exchange, body);
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

  private void answer(HttpExchange exchange, byte[] body) throws IOException, WireException {
    String path = exchange.getRequestURI().getPath();
    Map<String, String> query = query(exchange);
    if (path.equals("/flavors")) {
      reply(exchange, 200, Flavor.writeAll(SimCluster.FLAVORS));
    } else if (path.equals("/hosts") && exchange.getRequestMethod().equals("GET")) {
      ObjectNode none = Json.object().put("more", false);
      none.putArray("velar");
      reply(exchange, 200, none);
    } else if (path.equals("/hosts")) {
      reply(exchange, 503, Json.object().put("error", "no capacity"));
    } else if (path.equals("/follow")) {
      follow(exchange, query);
    } else {
      synchronized (this) {
        state(exchange, path, query, body);
      }
    }
  }

  private void state(HttpExchange exchange, String path, Map<String, String> query, byte[] body)
      throws IOException, WireException {
    if (path.equals("/keys")) {
      StateStore.Page page =
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
          found.map(LoopbackIT::entry).orElse(Json.object()));
    } else if (path.equals("/txn")) {
      outcome(exchange, store.txn(readTxn(Json.parse(body))).map(Revision::value), "breytingatal");
    } else if (path.equals("/holds")) {
      long life = Json.count(Json.parse(body), "life_ms");
      reply(exchange, 200, Json.object().put("leiga", store.grant(life)));
    } else if (path.endsWith("/extend")) {
      long id = Long.parseLong(path.split("/", -1)[2]);
      outcome(exchange, store.renew(id), "leiga");
    } else {
      store.revoke(Long.parseLong(path.split("/", -1)[2]));
      reply(exchange, 200, Json.object());
    }
  }

  private static void outcome(HttpExchange exchange, Outcome<Long> outcome, String field)
      throws IOException {
    if (outcome instanceof Outcome.Applied<Long> a) {
      reply(exchange, 200, Json.object().put(field, a.value()));
    } else {
      boolean gone = outcome.isBecause(Outcome.Reason.NOT_FOUND);
      ObjectNode out = Json.object();
      out.putArray("failed");
      reply(exchange, gone ? 404 : 409, out);
    }
  }

  private static Txn readTxn(JsonNode json) throws WireException {
    Map<String, Revision> conditions = new LinkedHashMap<>();
    for (JsonNode c : json.path("if")) {
      conditions.put(Json.text(c, "path"), new Revision(Json.count(c, "utgafunumer")));
    }
    List<Change> changes = new ArrayList<>();
    for (JsonNode c : json.path("then")) {
      String set = Json.textOrNull(c, "set");
      changes.add(
          set == null
              ? new Change.Delete(Json.text(c, "remove"))
              : new Change.Put(set, c.get("v"), c.path("leiga").asLong()));
    }
    return new Txn(conditions, changes);
  }

  private void follow(HttpExchange exchange, Map<String, String> query) throws IOException {
    List<StateStore.Changes> seen = new ArrayList<>();
    Object arrived = new Object();
    synchronized (this) {
      store.follow(
          query.get("prefix"),
          Long.parseLong(query.get("from")),
          Integer.parseInt(query.get("wait_ms")) / 1000.0,
          c -> {
            synchronized (arrived) {
              seen.add(c);
              arrived.notifyAll();
            }
          });
    }
    synchronized (arrived) {
      while (seen.isEmpty()) {
        try {
          arrived.wait();
        } catch (InterruptedException e) {
          return;
        }
      }
    }
    ObjectNode out = Json.object().put("breytingatal", seen.get(0).revision().value());
    ArrayNode log = out.putArray("log");
    for (Change.Seen c : seen.get(0).changes()) {
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
