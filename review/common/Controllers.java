import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Controllers, started with the run line of the deploy file. */
final class Controllers {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

  private final Record record;
  private final Path dir;
  private final int count;
  private final int[] ports;
  private final Process[] processes;
  private final List<String> command;

  Controllers(Record record, Path dir, int count) throws IOException {
    this.record = record;
    this.dir = dir;
    this.count = count;
    this.processes = new Process[count];
    this.ports = freePorts(2 * count);
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/service.toml")));
    if (!run.find()) {
      throw new IOException("deploy/service.toml has no run line");
    }
    command = List.of(run.group(1).split(" "));
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
  }

  /**
   * Free ports below those that the system gives to outgoing connections: one of these could take a
   * port between the look and the start of its controller.
   */
  private static int[] freePorts(int n) throws IOException {
    int[] out = new int[n];
    int found = 0;
    for (int tries = 0; found < n && tries < 1000; tries++) {
      int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        boolean taken = false;
        for (int i = 0; i < found; i++) {
          taken |= out[i] == port;
        }
        if (!taken) {
          out[found++] = socket.getLocalPort();
        }
      } catch (BindException e) {
        // In use; another one is tried.
      }
    }
    if (found < n) {
      throw new IOException("no free ports");
    }
    return out;
  }

  int count() {
    return count;
  }

  static String name(int node) {
    return "hjortur-" + node;
  }

  int port(int node) {
    return ports[node];
  }

  /** Writes a node's settings; the deployment part is filled by the caller. */
  void configure(int node, List<String> zones, int state, int cloud, Consumer<ObjectNode> fill)
      throws IOException {
    ObjectNode root = Http.object();
    root.put("node", name(node)).put("site", zones.get(node % zones.size()));
    root.put("client_listen", "127.0.0.1:" + ports[node]);
    root.put("peer_listen", "127.0.0.1:" + ports[count + node]);
    ArrayNode peers = root.putArray("peers");
    for (int k = 0; k < count; k++) {
      if (k != node) {
        peers
            .addObject()
            .put("node", name(k))
            .put("site", zones.get(k % zones.size()))
            .put("endpoint", "127.0.0.1:" + ports[count + k]);
      }
    }
    root.putObject("external")
        .put("cloud", "127.0.0.1:" + cloud)
        .put("state", "127.0.0.1:" + state);
    ObjectNode deployment = root.putObject("deployment").put("count", count);
    ArrayNode list = deployment.putArray("zones");
    zones.forEach(list::add);
    fill.accept(deployment);
    Files.write(settings(node), Http.JSON.writeValueAsBytes(root));
  }

  private Path settings(int node) {
    return dir.resolve(name(node) + ".json");
  }

  Path log(int node) {
    return dir.resolve(name(node) + ".log");
  }

  String logText(int node) throws IOException {
    return Files.exists(log(node))
        ? new String(Files.readAllBytes(log(node)), StandardCharsets.UTF_8)
        : "";
  }

  void start(int node) throws IOException {
    List<String> line = new ArrayList<>(command);
    line.add(settings(node).toString());
    ProcessBuilder builder = new ProcessBuilder(line);
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("CASE_LOG", "info"));
    builder.redirectError(ProcessBuilder.Redirect.appendTo(log(node).toFile()));
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File("/dev/null")));
    processes[node] = builder.start();
    record.line("started " + name(node));
  }

  boolean isAlive(int node) {
    return processes[node] != null && processes[node].isAlive();
  }

  int exitValue(int node) {
    return processes[node].exitValue();
  }

  void kill(int node) throws InterruptedException {
    processes[node].destroyForcibly().waitFor();
    record.line("killed " + name(node));
  }

  void signal(int node, String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(processes[node].pid())).start().waitFor();
    record.line("signal " + name + " to " + name(node));
  }

  boolean awaitHealthy(int node, double seconds) throws IOException, InterruptedException {
    long end = System.nanoTime() + (long) (seconds * 1e9);
    while (System.nanoTime() < end) {
      if (Http.call("GET", ports[node], "/healthz", null, 1).status() == 200) {
        return true;
      }
      Thread.sleep(50);
    }
    String log = logText(node);
    record.line(
        name(node) + (isAlive(node) ? " runs" : " has ended") + " and is not healthy; its log ends: "
            + log.substring(Math.max(0, log.length() - 500)));
    return false;
  }

  void endAll() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }
}
