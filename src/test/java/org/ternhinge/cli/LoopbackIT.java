package org.ternhinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
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
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ternhinge.sim.Specs;
import org.ternhinge.wire.Json;

/** The packaged program as three processes on loopback, with stand-ins for what is around them. */
class LoopbackIT {
  private static final long PATIENCE_S = 60;

  @TempDir Path dir;
  private final List<Process> processes = new ArrayList<>();
  private final List<Path> settings = new ArrayList<>();
  private final int[] ports = new int[6];
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private LoopbackServices services;

  @AfterEach
  void end() {
    processes.forEach(Process::destroyForcibly);
    if (services != null) {
      services.close();
    }
  }

  @Test
  void threeProcessesKeepAJobThroughKills() throws Exception {
    startAll();
    invalidRequestsAreRefused();
    byte[] job = Json.bytes(Specs.json("wk-000001", "batch", 3));
    until("the job is accepted", () -> status(0, "POST", "/submissions", job) == 201);
    until("a repeat is known", () -> status(1, "POST", "/submissions", job) == 200);
    aStalledClientStopsNobody();
    dependentJobsAreAccepted();
    int leader = killTheLeader();
    cancelAt((leader + 1) % 3, leader);
    for (Process process : processes) {
      process.destroyForcibly().waitFor();
    }
    processes.set(leader, start(leader));
    until(
        "one restarted process remembers",
        () -> isCancelled(leader, "wk-000001") && isCancelled(leader, "wk-000004"));
    assertTrue(processes.get(leader).isAlive());
  }

  private void startAll() throws Exception {
    services = new LoopbackServices();
    for (int i = 0; i < 6; i++) {
      try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        ports[i] = free.getLocalPort();
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
  }

  private void invalidRequestsAreRefused() throws Exception {
    ObjectNode stranger = Specs.json("wk-000002", "batch", 3).put("eigandi", "nobody");
    assertEquals(400, status(0, "POST", "/submissions", "{".getBytes(StandardCharsets.UTF_8)));
    assertEquals(400, status(1, "POST", "/submissions", new byte[80_000]));
    // Both ask the state service first, whose tokens a start uses up for a moment.
    until("422", () -> status(1, "POST", "/submissions", Json.bytes(stranger)) == 422);
    until("404", () -> status(2, "GET", "/submissions/wk-000009", null) == 404);
    assertEquals(404, status(2, "GET", "/else", null));
    assertEquals(405, status(2, "GET", "/submissions", null));
  }

  private void aStalledClientStopsNobody() throws IOException {
    try (Socket stalled = new Socket(InetAddress.getLoopbackAddress(), ports[0])) {
      stalled
          .getOutputStream()
          .write("POST /submissions HTTP/1.1\r\nCont".getBytes(StandardCharsets.US_ASCII));
      assertEquals(200, status(0, "GET", "/healthz", null), "a stalled client stops nobody");
    }
  }

  private void dependentJobsAreAccepted() throws Exception {
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
  }

  /** Kills the process that leads and waits for another leader; says which one was killed. */
  private int killTheLeader() throws Exception {
    until("somebody leads", () -> services.leader() >= 0);
    int leader = services.leader();
    processes.get(leader).destroyForcibly().waitFor();
    int other = (leader + 1) % 3;
    until("the job is known", () -> status(other, "GET", "/submissions/wk-000001", null) == 200);
    until("another leads", () -> services.leader() >= 0 && services.leader() != leader);
    return leader;
  }

  /** Cancels the first job at a node; all that depend on it are cancelled on every live node. */
  private void cancelAt(int node, int killed) throws Exception {
    until(
        "the job is cancelled",
        () -> status(node, "POST", "/submissions/wk-000001/cancel", null) == 200);
    int next = (node + 1) % 3;
    int third = next == killed ? node : next;
    until(
        "with it all that depend on it",
        () -> isCancelled(node, "wk-000003") && isCancelled(third, "wk-000004"));
  }

  private boolean isCancelled(int node, String job) {
    return body(node, "/submissions/" + job).contains("cancelled");
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
    String outside = services.endpoint();
    root.putObject("external").put("cloud", outside).put("state", outside);
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
}
