import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Three controllers, started by the run line of the deploy file, with their stand-ins. */
final class Cluster implements AutoCloseable {
  static final int NODES = 3;

  private static final Random RANDOM = new Random();

  final Record record;
  private final Map<String, Object> deployment;
  private final StateService state;
  private final Fleet fleet;
  private final Path dir;
  private final List<String> run;
  private final List<String> clients = new ArrayList<>();
  private final List<String> peers = new ArrayList<>();
  private final List<String> states = new ArrayList<>();
  private final List<Path> settings = new ArrayList<>();
  private final Process[] processes = new Process[NODES];
  private String cloud;
  private int nextNode;

  Cluster(Record record, Map<String, Object> deployment, StateService state, Fleet fleet)
      throws IOException {
    this.record = record;
    this.deployment = deployment;
    this.state = state;
    this.fleet = fleet;
    this.dir = Files.createTempDirectory("ternhinge-review");
    this.run = runLine();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  private static List<String> runLine() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
      if (line.startsWith("run = ")) {
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return Arrays.asList(command.split(" +"));
      }
    }
    throw new IOException("deploy/service.toml has no run line");
  }

  void start() throws IOException, InterruptedException {
    for (int i = 0; i < NODES; i++) {
      clients.add("127.0.0.1:" + freePort());
      peers.add("127.0.0.1:" + freePort());
    }
    cloud = fleet.listen();
    for (int i = 0; i < NODES; i++) {
      states.add(state.listen(i));
    }
    Map<String, String> addresses = new LinkedHashMap<>();
    for (int i = 0; i < NODES; i++) {
      addresses.put("hjortur-" + i, clients.get(i));
    }
    fleet.setControllers(addresses);
    for (int i = 0; i < NODES; i++) {
      settings.add(dir.resolve("node-" + i + ".json"));
      Files.writeString(settings.get(i), Json.write(settingsOf(i, deployment)));
      startNode(i);
    }
    for (int i = 0; i < NODES; i++) {
      awaitHealthy(i);
    }
    record.line("all controllers are healthy");
  }

  /** A free port below the range from which the system takes those of outgoing connections. */
  private int freePort() {
    while (true) {
      int port = 11_000 + RANDOM.nextInt(20_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        if (!clients.contains("127.0.0.1:" + port)) {
          return socket.getLocalPort();
        }
      } catch (IOException e) {
        record.line("port %d is taken", port);
      }
    }
  }

  private void awaitHealthy(int node) throws IOException, InterruptedException {
    if (!await(30, () -> call(node, "GET", "/healthz", null, 1).status() == 200)) {
      throw new IOException("controller " + node + " is not healthy after 30 s");
    }
  }

  /** Replaces all controllers one after the other, with settings of the deployment given here. */
  void roll(Map<String, Object> next) throws IOException, InterruptedException {
    for (int i = 0; i < NODES; i++) {
      kill(i);
      Files.writeString(settings.get(i), Json.write(settingsOf(i, next)));
      startNode(i);
      awaitHealthy(i);
    }
    record.line("all controllers were replaced; state: %s", Json.write(next.get("state")));
  }

  private Map<String, Object> settingsOf(int node, Map<String, Object> settled) {
    List<Object> others = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      if (i != node) {
        others.add(Json.of("node", "hjortur-" + i, "site", zone(i), "endpoint", peers.get(i)));
      }
    }
    Map<String, Object> out = Json.of("node", "hjortur-" + node, "site", zone(node));
    out.put("client_listen", clients.get(node));
    out.put("peer_listen", peers.get(node));
    out.put("peers", others);
    out.put("external", Json.of("cloud", cloud, "state", states.get(node)));
    out.put("deployment", settled);
    return out;
  }

  private String zone(int node) {
    List<?> zones = (List<?>) deployment.get("zones");
    return (String) zones.get(node % zones.size());
  }

  void startNode(int node) throws IOException {
    List<String> command = new ArrayList<>(run);
    command.add(settings.get(node).toString());
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(node).toFile()));
    processes[node] = builder.start();
    record.line("controller %d started: %s", node, String.join(" ", run));
  }

  private Path log(int node) {
    return dir.resolve("node-" + node + ".log");
  }

  /** Kills a controller without a signal that it could handle. */
  void kill(int node) throws InterruptedException {
    processes[node].destroyForcibly().waitFor();
    record.line("controller %d killed", node);
  }

  boolean isAlive(int node) {
    return processes[node].isAlive();
  }

  /** The number of the controller that the state service names as the leader, or -1. */
  @SuppressWarnings("unchecked")
  int leader() {
    Object value = state.read("leader");
    String name = value == null ? "" : (String) ((Map<String, Object>) value).get("node");
    return name.isEmpty() ? -1 : Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
  }

  Http.Answer call(int node, String method, String path, String body, double timeoutS) {
    return Http.call(method, clients.get(node), path, body, timeoutS);
  }

  /** A user's request, over a new connection to one controller after the other. */
  Http.Answer user(String method, String path, String body, double timeoutS) {
    int node = nextNode++ % NODES;
    Http.Answer answer = call(node, method, path, body, timeoutS);
    record.line(
        "user -> controller %d: %s %s %s -> %d %s",
        node, method, path, body == null ? "" : body, answer.status(), answer.body());
    return answer;
  }

  /** Submits a job as PROTOCOL says, with retries for up to 60 s; the status of the last answer. */
  int submit(Map<String, Object> job, double runS) throws InterruptedException {
    fleet.upload(job, runS);
    return repeat("/submissions", Json.write(job));
  }

  /** Cancels a job, with the same retries. */
  int cancel(String ref) throws InterruptedException {
    return repeat("/submissions/" + ref + "/cancel", null);
  }

  private int repeat(String path, String body) throws InterruptedException {
    double end = record.now() + 60;
    while (true) {
      int status = user("POST", path, body, 5).status();
      boolean again = status == 0 || status == 429 || status >= 500;
      if (!again || record.now() > end) {
        return status;
      }
      Thread.sleep(1000);
    }
  }

  /** The state that users are told of a job, or the status where that is not 200. */
  String poll(String ref) {
    Http.Answer answer = user("GET", "/submissions/" + ref, null, 2);
    return answer.status() == 200 ? (String) answer.object().get("astand") : "" + answer.status();
  }

  static boolean await(double seconds, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + (long) (seconds * 1e9);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        return false;
      }
      Thread.sleep(100);
    }
    return true;
  }

  /** The lines of the controllers' logs that contain a text. */
  List<String> logged(String text) throws IOException {
    List<String> out = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      for (String line : Files.readAllLines(log(i))) {
        if (line.contains(text)) {
          out.add("controller " + i + ": " + line);
        }
      }
    }
    return out;
  }

  @Override
  public void close() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    if (!Files.exists(dir) || System.getenv("KEEP_LOGS") != null) {
      return;
    }
    try (var files = Files.walk(dir)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The fields of a submission of one task that takes one CPU. */
  static Map<String, Object> job(String ref, String team, String kind, String priority) {
    Map<String, Object> job = Json.of("ref", ref, "runflokkur", "work", "eigandi", team);
    job.put("gerd", kind);
    job.put("forgang", priority);
    job.put("verkbitar", 1);
    job.put("cpus", 1.0);
    job.put("accelerators", 0.0);
    job.put("memory_gb", 1.0);
    job.put("mynd", "img-01");
    job.put("pull_gb", 1.0);
    job.put("velagerdir", null);
    job.put("svaedi", null);
    job.put("together", false);
    job.put("scatter", false);
    job.put("lanvelar", false);
    job.put("aaetlun_s", 5.0);
    job.put("vista_bil_s", 0.0);
    job.put("vistun_s", 0.0);
    job.put("skiladagur_s", null);
    return job;
  }
}
