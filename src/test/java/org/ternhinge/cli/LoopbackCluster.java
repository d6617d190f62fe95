package org.ternhinge.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.ternhinge.wire.Json;

/**
 * Three controllers, as processes of the packaged program on loopback, with fakes of the external
 * services.
 */
final class LoopbackCluster implements AutoCloseable {
  /**
   * Settings of the deployment that differ between tests.
   *
   * @param teamCpus CPU limit of the only team
   */
  record Options(
      List<String> zones,
      double heartbeatIntervalS,
      double leaseS,
      double cancelS,
      double teamCpus) {
    /** Two zones, with the intervals and leases of production deployments. */
    static final Options DEFAULT = new Options(List.of("east", "west"), 3, 24, 44, 8);
  }

  /** Number of controllers. */
  static final int NODES = 3;

  private static final long WAIT_TIMEOUT_S = 60;

  private final Path dir;
  private final Options options;
  private final List<String> arguments;
  private final LoopbackServices services;
  private final Optional<LoopbackLinks> links;
  private final List<Process> processes = new ArrayList<>();
  private final List<Path> settings = new ArrayList<>();
  private final int[] ports = new int[2 * NODES];
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /**
   * Prepares a cluster; {@link #startAll} starts its processes.
   *
   * @param dir directory for settings and logs
   * @param arguments additional command-line arguments of each process
   */
  LoopbackCluster(Path dir, Options options, List<String> arguments) throws IOException {
    this(dir, options, arguments, Optional.empty());
  }

  /**
   * Prepares a cluster whose controllers use relays.
   *
   * @param links the relays between the controllers, and to the key-value store and the cloud
   */
  LoopbackCluster(Path dir, Options options, List<String> arguments, Optional<LoopbackLinks> links)
      throws IOException {
    this.dir = dir;
    this.options = options;
    this.arguments = arguments;
    this.links = links;
    this.services = new LoopbackServices(options.zones(), NODES);
    for (int i = 0; i < ports.length; i++) {
      ports[i] = FreePorts.next();
    }
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
    services.close();
  }

  LoopbackServices services() {
    return services;
  }

  /** The ports on which the controllers serve users and workers. */
  List<Integer> clientPorts() {
    return List.of(ports[0], ports[1], ports[2]);
  }

  // ---- processes --------------------------------------------------------------------------------

  /** Starts all controllers and waits until they are healthy. */
  void startAll() throws IOException, InterruptedException {
    for (int i = 0; i < NODES; i++) {
      settings.add(dir.resolve("node-" + i + ".json"));
      Files.write(settings.get(i), Json.bytes(settingsJson(i)));
      processes.add(start(i));
    }
    for (int i = 0; i < NODES; i++) {
      int node = i;
      waitUntil("node " + i + " is healthy", () -> status(node, "GET", "/healthz", null) == 200);
      assertTrue(isAlive(node), "another process answers on the port of node " + node);
    }
  }

  private Process start(int node) throws IOException {
    List<String> command = new ArrayList<>(List.of("--config", settings.get(node).toString()));
    command.addAll(arguments);
    Process process = run(command);
    InputStream log = process.getErrorStream();
    OutputStream logFile =
        Files.newOutputStream(logOf(node), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    Thread drain =
        new Thread(
            () -> {
              try (logFile) {
                log.transferTo(logFile);
              } catch (IOException e) {
                Thread.currentThread().interrupt();
              }
            });
    drain.setDaemon(true);
    drain.start();
    return process;
  }

  /** Starts a process of the packaged program. */
  static Process run(List<String> args) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx96m", "-jar", "target/ternhinge.jar"));
    command.addAll(args);
    return new ProcessBuilder(command).start();
  }

  void kill(int node) throws InterruptedException {
    processes.get(node).destroyForcibly().waitFor();
  }

  void restart(int node) throws IOException {
    processes.set(node, start(node));
  }

  /** Suspends a process; its clocks keep running. */
  void suspend(int node) throws IOException, InterruptedException {
    signal(node, "STOP");
  }

  /** Resumes a suspended process. */
  void resume(int node) throws IOException, InterruptedException {
    signal(node, "CONT");
  }

  private void signal(int node, String name) throws IOException, InterruptedException {
    String pid = Long.toString(processes.get(node).pid());
    new ProcessBuilder("kill", "-" + name, pid).start().waitFor();
  }

  boolean isAlive(int node) {
    return processes.get(node).isAlive();
  }

  /** The exit status of a process that has ended. */
  int exitStatus(int node) {
    return processes.get(node).exitValue();
  }

  private Path logOf(int node) {
    return dir.resolve("node-" + node + ".log");
  }

  /** Returns the concatenated logs of all controllers. */
  String logs() throws IOException {
    StringBuilder logs = new StringBuilder();
    for (int i = 0; i < NODES; i++) {
      logs.append(Files.readString(logOf(i), StandardCharsets.UTF_8));
    }
    return logs.toString();
  }

  /** The port by which one controller reaches another. */
  private int peerPort(int from, int to) throws IOException {
    int port = ports[NODES + to];
    return links.isPresent() ? links.get().peerPort(from, to, port) : port;
  }

  private ObjectNode settingsJson(int node) throws IOException {
    ObjectNode root = Json.object().put("node", "node-" + node).put("site", options.zones().get(0));
    root.put("client_listen", "127.0.0.1:" + ports[node]);
    root.put("peer_listen", "127.0.0.1:" + ports[NODES + node]);
    ArrayNode peers = root.putArray("peers");
    for (int k = 0; k < NODES; k++) {
      if (k != node) {
        peers
            .addObject()
            .put("node", "node-" + k)
            .put("endpoint", "127.0.0.1:" + peerPort(node, k));
      }
    }
    int cloud = services.port(node);
    int store = services.port(node);
    if (links.isPresent()) {
      cloud = links.get().cloudPort(node, cloud);
      store = links.get().storePort(node, store);
    }
    root.putObject("external")
        .put("cloud", "127.0.0.1:" + cloud)
        .put("state", "127.0.0.1:" + store);
    ObjectNode deployment = root.putObject("deployment");
    ArrayNode zones = deployment.putArray("zones");
    options.zones().forEach(zones::add);
    deployment
        .putArray("teams")
        .addObject()
        .put("name", "red")
        .put("cpus", 4)
        .put("cpus_max", options.teamCpus());
    ObjectNode workers = deployment.putObject("workers");
    workers.put("report_s", options.heartbeatIntervalS()).put("lease_s", options.leaseS());
    workers.put("gang_wait_s", 30).put("gang_peer_s", 5).put("cancel_s", options.cancelS());
    deployment
        .putObject("state")
        .put("rps", 200)
        .put("write_rps", 60)
        .put("value_kb", 8)
        .put("txn_ops", 16);
    deployment.putObject("cloud").put("rps", 4).put("list_lag_s", 10);
    return root;
  }

  // ---- requests ---------------------------------------------------------------------------------

  /** Waits until a condition holds, for at most a minute. */
  static void waitUntil(String description, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_TIMEOUT_S);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "timed out waiting until " + description);
      Thread.sleep(100);
    }
  }

  private HttpResponse<String> send(int node, String method, String path, byte[] body) {
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

  /** Returns the status of the response; 0 if there was none. */
  int status(int node, String method, String path, byte[] body) {
    HttpResponse<String> response = send(node, method, path, body);
    return response == null ? 0 : response.statusCode();
  }

  /** Returns the body of the response; empty if there was none. */
  String body(int node, String path) {
    HttpResponse<String> response = send(node, "GET", path, null);
    return response == null ? "" : response.body();
  }

  /** The port on which a controller serves users. */
  int port(int node) {
    return ports[node];
  }
}
