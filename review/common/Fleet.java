import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.ThreadLocalRandom;

/** The cloud with its machines, each with a worker, as PROTOCOL describes them. */
final class Fleet {
  /** What the machines of a type have. */
  record Type(
      String name, double cpus, double gpus, double memoryGb, double price, double bootS) {}

  /** How long a task runs, in seconds; negative: it fails after that time. */
  interface RunTime {
    double seconds(String job, int task);
  }

  /** Called when a task starts to run and when it is gone from its machine. */
  interface Observer {
    void started(Worker worker, String task, long attempt);

    void ended(Worker worker, String task, long attempt, String why);
  }

  final double reportS;
  final double leaseS;
  final Record record;
  private final List<Type> types;
  private final List<String> zones;
  private final Controllers controllers;
  private final HttpServer server;
  private final Map<String, Worker> workers = new ConcurrentSkipListMap<>();
  final ScheduledExecutorService timers =
      Executors.newScheduledThreadPool(
          8,
          action -> {
            Thread thread = new Thread(action);
            thread.setDaemon(true);
            return thread;
          });
  /** Tasks that have completed; their results are kept. */
  private final java.util.Set<String> completed = java.util.concurrent.ConcurrentHashMap.newKeySet();
  private int lastMachine;
  volatile RunTime runTime = (job, task) -> 5;
  volatile double fetchS = 0.1;
  volatile Observer observer =
      new Observer() {
        @Override
        public void started(Worker worker, String task, long attempt) {}

        @Override
        public void ended(Worker worker, String task, long attempt, String why) {}
      };

  Fleet(
      Record record,
      Controllers controllers,
      List<Type> types,
      List<String> zones,
      double reportS,
      double leaseS)
      throws IOException {
    this.record = record;
    this.controllers = controllers;
    this.types = types;
    this.zones = zones;
    this.reportS = reportS;
    this.leaseS = leaseS;
    this.server = Http.serve(this::handle);
  }

  int port() {
    return server.getAddress().getPort();
  }

  Map<String, Worker> workers() {
    return workers;
  }

  synchronized Worker add(String type, String zone) throws IOException {
    String name = String.format("n-%06d", ++lastMachine);
    Worker worker = new Worker(name, type, zone);
    workers.put(name, worker);
    worker.begin();
    return worker;
  }

  /** Lets a running task complete now. */
  void complete(String job, int task) {
    for (Worker worker : workers.values()) {
      worker.complete(job + "/" + task);
    }
  }

  private Http.Answer handle(String method, String path, Map<String, String> query, JsonNode body) {
    if (path.equals("/flavors")) {
      ObjectNode out = Http.object();
      ArrayNode list = out.putArray("velagerdir");
      for (Type type : types) {
        ObjectNode item = list.addObject().put("name", type.name()).put("cpus", type.cpus());
        item.put("accelerators", type.gpus()).put("memory_gb", type.memoryGb());
        item.put("cache_gb", 50.0).put("pull_gb_per_s", 5.0).put("hourly", type.price());
        item.put("low_price", type.price() / 3).put("startup_s", type.bootS());
        ArrayNode in = item.putArray("svaedin");
        zones.forEach(in::add);
      }
      return new Http.Answer(200, out);
    }
    if (path.equals("/hosts/release")) {
      for (JsonNode name : body.path("velar")) {
        Worker worker = workers.remove(name.asText());
        if (worker != null) {
          record.line("cloud: released " + name.asText());
          worker.stop("machine released");
        }
      }
      return new Http.Answer(200, Http.object());
    }
    if (method.equals("POST")) {
      return new Http.Answer(503, Http.object().put("error", "no capacity"));
    }
    ObjectNode out = Http.object().put("more", false);
    ArrayNode hosts = out.putArray("velar");
    String from = query.get("from");
    for (Worker worker : workers.values()) {
      if (from == null || worker.name.compareTo(from) > 0) {
        ObjectNode host = hosts.addObject().put("ref", worker.name);
        host.put("endpoint", worker.endpoint()).put("velagerd", worker.type);
        host.put("svaedi", worker.zone).put("lanvelar", false).put("astand", "running");
        host.put("held_s", (System.nanoTime() - worker.bornAt) / 1e9);
      }
    }
    return new Http.Answer(200, out);
  }

  /** A machine's worker. */
  final class Worker {
    private static final class Task {
      String id;
      long attempt;
      String state;
      String why;
    }

    final String name;
    final String type;
    final String zone;
    final long bornAt = System.nanoTime();
    private final HttpServer commands;
    private final Map<String, Task> tasks = new TreeMap<>();
    private long session = 1;
    private long sequence;
    private long token;
    private double answeredReportSentAt = now();
    private int node;
    private boolean stopped;
    private boolean reportInFlight;
    private double lastReportAt;
    private boolean changed;

    private Worker(String name, String type, String zone) throws IOException {
      this.name = name;
      this.type = type;
      this.zone = zone;
      this.commands = Http.serve(this::handleDirect);
      this.node = Math.abs(name.hashCode()) % controllers.count();
    }

    private double now() {
      return System.nanoTime() / 1e9;
    }

    String endpoint() {
      return "127.0.0.1:" + commands.getAddress().getPort();
    }

    private void after(double seconds, Runnable action) {
      var unused =
          timers.schedule(
              () -> {
                try {
                  action.run();
                } catch (RuntimeException e) {
                  record.line("stand-in failed: " + e);
                }
              },
              (long) (seconds * 1e6),
              TimeUnit.MICROSECONDS);
    }

    private void begin() {
      after(0, this::report);
      after(0.1, this::checkLease);
    }

    synchronized void stop(String why) {
      stopped = true;
      dropTasks(why);
      commands.stop(0);
    }

    synchronized boolean isStopped() {
      return stopped;
    }

    private void dropTasks(String why) {
      for (Task task : tasks.values()) {
        if (!task.state.equals("ended")) {
          observer.ended(this, task.id, task.attempt, why);
        }
      }
      tasks.clear();
    }

    private synchronized void checkLease() {
      if (stopped) {
        return;
      }
      if (now() - answeredReportSentAt > leaseS) {
        record.line(name + ": lease over, " + tasks.size() + " tasks killed and forgotten");
        dropTasks("lease over");
        session++;
        answeredReportSentAt = now();
        changed = true;
        reportSoon();
      }
      after(0.1, this::checkLease);
    }

    private synchronized ObjectNode status() {
      ObjectNode out = Http.object().put("vel", name).put("endpoint", endpoint());
      out.put("velagerd", type).put("svaedi", zone).put("lanvelar", false);
      out.put("vakt", session).put("raodnumer", ++sequence).put("valdmerki", token);
      out.putNull("fyrirvari_s");
      ArrayNode list = out.putArray("verkbitar");
      for (Task task : tasks.values()) {
        ObjectNode item = list.addObject().put("verkbiti", task.id).put("tilraun", task.attempt);
        item.put("astand", task.state);
        if (task.why != null) {
          item.put("astaeda", task.why);
        }
      }
      return out;
    }

    /** Reports at a change, though not more often than every half second. */
    private void reportSoon() {
      if (!reportInFlight) {
        after(Math.max(0.01, lastReportAt + 0.5 - now()), this::reportIfChanged);
      }
    }

    private void reportIfChanged() {
      synchronized (this) {
        if (!changed || now() - lastReportAt < 0.49) {
          return;
        }
      }
      report();
    }

    private void report() {
      byte[] body;
      long sentSession;
      int to;
      double sentAt;
      synchronized (this) {
        if (stopped || reportInFlight) {
          return;
        }
        reportInFlight = true;
        changed = false;
        sentAt = now();
        lastReportAt = sentAt;
        sentSession = session;
        to = node;
        try {
          body = Http.JSON.writeValueAsBytes(status());
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      }
      Http.THREADS.execute(
          () -> {
            Http.Answer answer = Http.call("POST", controllers.port(to), "/agent/beat", body, 4);
            handleAnswer(answer, body.length, sentSession, sentAt, to);
          });
    }

    private synchronized void handleAnswer(
        Http.Answer answer, int bytes, long sentSession, double sentAt, int to) {
      reportInFlight = false;
      double next = reportS * (0.75 + 0.5 * ThreadLocalRandom.current().nextDouble());
      if (answer.status() == 200) {
        long given = answer.body().path("valdmerki").asLong(-1);
        if (sentSession == session && given >= token) {
          token = given;
          answeredReportSentAt = sentAt;
          for (JsonNode command : answer.body().path("skipanir")) {
            execute(command);
          }
        }
      } else if (answer.status() == 421 && !answer.text("tilkynna_til").isEmpty()) {
        String named = answer.text("tilkynna_til");
        int named2 = Integer.parseInt(named.substring(named.indexOf('-') + 1));
        next = named2 == to ? 1 : 0.25;
        node = named2 == to ? (to + 1) % controllers.count() : named2;
      } else {
        if (answer.status() != 503 && answer.status() != 421 && answer.status() != 0) {
          record.line(
              name + ": report of " + bytes + " bytes answered " + answer.status() + " by "
                  + Controllers.name(to) + " " + answer.body());
        }
        node = (to + 1) % controllers.count();
        next = 1;
      }
      double due = next;
      double dueAt = now() + due;
      after(due, () -> reportIfDue(dueAt));
      if (changed) {
        reportSoon();
      }
    }

    private void reportIfDue(double dueAt) {
      synchronized (this) {
        if (lastReportAt > dueAt - 0.4) {
          return;
        }
      }
      report();
    }

    private synchronized Http.Answer handleDirect(
        String method, String path, Map<String, String> query, JsonNode body) {
      if (stopped) {
        return null;
      }
      if (path.equals("/status")) {
        return new Http.Answer(200, status());
      }
      if (!body.has("valdmerki") || !body.has("vakt")) {
        return new Http.Answer(400, Http.object());
      }
      long given = body.path("valdmerki").asLong();
      if (given < token || body.path("vakt").asLong() != session) {
        return new Http.Answer(409, status());
      }
      if (given > token) {
        token = given;
        changed = true;
      }
      for (JsonNode command : body.path("skipanir")) {
        execute(command);
      }
      if (changed) {
        reportSoon();
      }
      return new Http.Answer(200, status());
    }

    private void execute(JsonNode command) {
      String id = command.path("verkbiti").asText();
      long attempt = command.path("tilraun").asLong();
      String key = id + "#" + attempt;
      Task task = tasks.get(key);
      switch (command.path("skipun").asText()) {
        case "start" -> {
          if (task == null) {
            changed = true;
            startTask(key, id, attempt);
          }
        }
        case "halt" -> {
          if (task != null && !task.state.equals("ended")) {
            end(task, "stopped");
          }
        }
        case "clear" -> {
          if (task != null && task.state.equals("ended")) {
            tasks.remove(key);
            changed = true;
          }
        }
        default -> record.line("unknown command " + command);
      }
    }

    private void startTask(String key, String id, long attempt) {
      Task task = new Task();
      task.id = id;
      task.attempt = attempt;
      for (Task other : tasks.values()) {
        if (other.id.equals(id) && !other.state.equals("ended")) {
          task.state = "ended";
          task.why = "busy";
          tasks.put(key, task);
          return;
        }
      }
      task.state = "pulling";
      tasks.put(key, task);
      after(fetchS, () -> run(key, task));
    }

    private synchronized void run(String key, Task task) {
      if (stopped || tasks.get(key) != task || !task.state.equals("pulling")) {
        return;
      }
      task.state = "running";
      changed = true;
      observer.started(this, task.id, task.attempt);
      if (completed.contains(task.id)) {
        end(task, "done");
        return;
      }
      int slash = task.id.indexOf('/');
      double seconds =
          runTime.seconds(
              task.id.substring(0, slash), Integer.parseInt(task.id.substring(slash + 1)));
      after(
          Math.abs(seconds),
          () -> {
            synchronized (this) {
              if (!stopped && tasks.get(key) == task && task.state.equals("running")) {
                end(task, seconds < 0 ? "error" : "done");
              }
            }
          });
      reportSoon();
    }

    private void end(Task task, String why) {
      task.state = "ended";
      task.why = why;
      if (why.equals("done")) {
        completed.add(task.id);
      }
      changed = true;
      observer.ended(this, task.id, task.attempt, why);
      reportSoon();
    }

    private synchronized void complete(String id) {
      for (Task task : tasks.values()) {
        if (task.id.equals(id) && task.state.equals("running")) {
          end(task, "done");
        }
      }
    }

    synchronized int taskCount() {
      return tasks.size();
    }
  }
}
