import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The worker of PROTOCOL on one machine. Tasks never save, and images are there at once. */
final class Worker {
  /** A task on this machine, by name and attempt. */
  static final class Task {
    final String name;
    final long attempt;
    final Map<String, Object> job;
    String state = "running";
    String why;
    long endNanos = Long.MAX_VALUE;

    Task(String name, long attempt, Map<String, Object> job) {
      this.name = name;
      this.attempt = attempt;
      this.job = job;
    }
  }

  /** Each start of a task that ran, for the checks. */
  record Run(String task, long attempt, String machine, double from, double to, String end) {}

  private static final List<Run> RUNS = new ArrayList<>();

  private final Fleet fleet;
  private final Fleet.Machine machine;
  private final HttpServer server;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<Task, Double> startedAt = new LinkedHashMap<>();
  private long session = 1;
  private long sequence;
  private long token;
  private long lastSentNanos = System.nanoTime();
  private boolean changed = true;
  private boolean ended;
  private int node;

  Worker(Fleet fleet, Fleet.Machine machine) throws IOException {
    this.fleet = fleet;
    this.machine = machine;
    this.server = Http.serve(this::answer);
    Http.start(this::reportForEver);
    Http.start(this::tickForEver);
  }

  String address() {
    return Http.address(server);
  }

  Fleet.Machine machine() {
    return machine;
  }

  static List<Run> runs() {
    synchronized (RUNS) {
      return List.copyOf(RUNS);
    }
  }

  /** The names of the tasks that are on this machine now. */
  synchronized List<String> running() {
    List<String> out = new ArrayList<>();
    for (Task task : tasks.values()) {
      if (task.state.equals("running")) {
        out.add(task.name);
      }
    }
    return out;
  }

  synchronized boolean started(String job) {
    return startedAt.keySet().stream().anyMatch(task -> task.name.startsWith(job + "/"));
  }

  /** A running task of a job fails on this machine. */
  synchronized void fail(String name) {
    for (Task task : tasks.values()) {
      if (task.name.equals(name)) {
        exit(task, "error");
      }
    }
  }

  synchronized void end(String why) {
    ended = true;
    for (Task task : tasks.values()) {
      exit(task, why);
    }
    server.stop(0);
  }

  private Http.Answer answer(Http.Call call) {
    synchronized (this) {
      if (call.path().equals("/status")) {
        return new Http.Answer(200, Json.write(report()));
      }
      Map<String, Object> body = Json.object(call.body());
      long given = Json.count(body, "valdmerki", -1);
      if (given < 0 || !body.containsKey("vakt")) {
        return new Http.Answer(400, "{}");
      }
      if (given < token || Json.count(body, "vakt", -1) != session) {
        return new Http.Answer(409, Json.write(report()));
      }
      seen(given);
      execute(body);
      return new Http.Answer(200, Json.write(report()));
    }
  }

  private void seen(long given) {
    if (given > token) {
      token = given;
      changed = true;
    }
  }

  private Map<String, Object> report() {
    Map<String, Object> out = Json.of("vel", machine.name, "endpoint", address());
    out.put("velagerd", machine.type.name());
    out.put("svaedi", machine.zone);
    out.put("lanvelar", machine.spot);
    out.put("vakt", session);
    out.put("raodnumer", ++sequence);
    out.put("valdmerki", token);
    out.put("fyrirvari_s", null);
    List<Object> list = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> item = Json.of("verkbiti", task.name, "tilraun", task.attempt);
      item.put("astand", task.state);
      if (task.why != null) {
        item.put("astaeda", task.why);
      }
      list.add(item);
    }
    out.put("verkbitar", list);
    return out;
  }

  private void execute(Map<String, Object> body) {
    for (Map<String, Object> command : Json.objects(body.get("skipanir"))) {
      String name = (String) command.get("verkbiti");
      long attempt = Json.count(command, "tilraun", 0);
      String key = name + " " + attempt;
      Task task = tasks.get(key);
      switch ((String) command.get("skipun")) {
        case "start" -> {
          if (task == null) {
            tasks.put(key, begin(name, attempt));
            changed = true;
          }
        }
        case "halt" -> {
          if (task != null && task.state.equals("running")) {
            exit(task, "stopped");
          }
        }
        case "clear" -> {
          if (task != null && task.state.equals("ended")) {
            tasks.remove(key);
            changed = true;
          }
        }
        default -> {}
      }
    }
  }

  private Task begin(String name, long attempt) {
    String ref = name.substring(0, name.indexOf('/'));
    Map<String, Object> job = fleet.job(ref);
    Task task = new Task(name, attempt, job);
    boolean busy =
        tasks.values().stream().anyMatch(t -> t.name.equals(name) && t.state.equals("running"));
    if (job == null || busy || !fits(job)) {
      task.state = "ended";
      task.why = job == null ? "unknown" : busy ? "busy" : "no_room";
      fleet.record.line("worker %s: start of %s attempt %d refused: %s", machine.name, name, attempt, task.why);
      return task;
    }
    task.endNanos = System.nanoTime() + (long) (fleet.runS(ref) * 1e9);
    startedAt.put(task, fleet.record.now());
    fleet.record.line("worker %s (%s): task %s attempt %d starts", machine.name, machine.type.name(), name, attempt);
    return task;
  }

  private boolean fits(Map<String, Object> job) {
    return free("cpus", machine.type.cpus()) + 1e-9 >= Json.amount(job, "cpus", 0)
        && free("accelerators", machine.type.gpus()) + 1e-9 >= Json.amount(job, "accelerators", 0)
        && free("memory_gb", machine.type.memoryGb()) + 1e-9 >= Json.amount(job, "memory_gb", 0);
  }

  /** What the running tasks leave of an amount. */
  private double free(String field, double total) {
    double free = total;
    for (Task task : tasks.values()) {
      if (task.state.equals("running")) {
        free -= Json.amount(task.job, field, 0);
      }
    }
    return free;
  }

  /** CPUs that the tasks of a team take here. */
  synchronized double cpusOf(Object team) {
    double used = 0;
    for (Task task : tasks.values()) {
      if (task.state.equals("running") && task.job.get("eigandi").equals(team)) {
        used += Json.amount(task.job, "cpus", 0);
      }
    }
    return used;
  }

  /** Whether a task of a job would fit beside the tasks that run now. */
  synchronized boolean hasRoomFor(Map<String, Object> job) {
    return !ended && fits(job);
  }

  private void exit(Task task, String why) {
    if (!task.state.equals("running")) {
      return;
    }
    task.state = "ended";
    task.why = why;
    changed = true;
    fleet.record.line("worker %s: task %s attempt %d ends: %s", machine.name, task.name, task.attempt, why);
    synchronized (RUNS) {
      RUNS.add(
          new Run(
              task.name, task.attempt, machine.name, startedAt.get(task), fleet.record.now(), why));
    }
  }

  private void tickForEver() {
    while (true) {
      synchronized (this) {
        if (ended) {
          return;
        }
        for (Task task : tasks.values()) {
          if (task.state.equals("running") && System.nanoTime() >= task.endNanos) {
            exit(task, "done");
          }
        }
        if (System.nanoTime() - lastSentNanos > fleet.leaseS * 1e9) {
          fleet.record.line("worker %s: lease over, session %d begins", machine.name, session + 1);
          for (Task task : tasks.values()) {
            exit(task, "killed at the end of the lease");
          }
          tasks.clear();
          session++;
          lastSentNanos = System.nanoTime();
          changed = true;
        }
      }
      sleep(0.05);
    }
  }

  private void reportForEver() {
    double nextAt = 0;
    double notBefore = 0;
    while (true) {
      synchronized (this) {
        if (ended) {
          return;
        }
      }
      double now = fleet.record.now();
      boolean due;
      synchronized (this) {
        due = now >= notBefore && (changed || now >= nextAt);
      }
      if (!due) {
        sleep(0.02);
        continue;
      }
      notBefore = now + 0.5;
      nextAt = now + fleet.reportS * (0.75 + 0.5 * Math.random());
      if (!reportOnce()) {
        nextAt = 0;
        notBefore = fleet.record.now();
      }
    }
  }

  /** Sends one report; false if the next one goes to another node. */
  private boolean reportOnce() {
    String body;
    long sentNanos;
    long sentSession;
    synchronized (this) {
      changed = false;
      body = Json.write(report());
      sentNanos = System.nanoTime();
      sentSession = session;
    }
    String address = fleet.controllers().get(Math.floorMod(node, fleet.controllers().size()));
    Http.Answer answer = Http.call("POST", address, "/agent/beat", body, 4);
    if (answer.status() == 200) {
      Map<String, Object> response = answer.object();
      synchronized (this) {
        long given = Json.count(response, "valdmerki", -1);
        if (sentSession == session && given >= token && !ended) {
          lastSentNanos = sentNanos;
          seen(given);
          execute(response);
        }
      }
      return true;
    }
    String other = answer.status() == 421 ? (String) answer.object().get("tilkynna_til") : null;
    String target = other == null ? null : fleet.controller(other);
    if (target != null && !target.equals(address)) {
      node = fleet.controllers().indexOf(target);
    } else {
      sleep(1);
      node++;
    }
    return false;
  }

  private static void sleep(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
