import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of PROTOCOL with its machines. Its workers run the tasks of the jobs named here. */
final class Fleet {
  /** A machine type and how many machines of it there are in all. */
  record Type(
      String name, double cpus, double gpus, double memoryGb, double hourly, int capacity) {}

  /** A machine; its worker is there once it is up. */
  static final class Machine {
    final String name;
    final Type type;
    final String zone;
    final boolean spot;
    final long rentedNanos = System.nanoTime();
    volatile Worker worker;

    Machine(String name, Type type, String zone, boolean spot) {
      this.name = name;
      this.type = type;
      this.zone = zone;
      this.spot = spot;
    }

    double ageS() {
      return (System.nanoTime() - rentedNanos) / 1e9;
    }
  }

  final Record record;
  final Map<String, Map<String, Object>> jobs = new HashMap<>();
  final Map<String, Double> runSeconds = new HashMap<>();
  final double reportS;
  final double leaseS;
  private final List<Type> types;
  private final List<String> zones;
  private final double bootS;
  private final double lagS;
  private final StateService.Limit calls;
  private final Map<String, Machine> machines = new TreeMap<>();
  private final Map<String, List<String>> answered = new HashMap<>();
  private List<String> controllers = List.of();
  private Map<String, String> controllerByName = Map.of();
  private int created;

  Fleet(
      Record record,
      List<Type> types,
      List<String> zones,
      double bootS,
      double lagS,
      double rps,
      double reportS,
      double leaseS) {
    this.record = record;
    this.types = types;
    this.zones = zones;
    this.bootS = bootS;
    this.lagS = lagS;
    this.calls = new StateService.Limit(Math.max(1, 2 * rps));
    this.reportS = reportS;
    this.leaseS = leaseS;
  }

  String listen() throws IOException {
    HttpServer server = Http.serve(this::answer);
    return Http.address(server);
  }

  void setControllers(Map<String, String> addresses) {
    controllerByName = addresses;
    controllers = List.copyOf(addresses.values());
  }

  List<String> controllers() {
    return controllers;
  }

  String controller(String name) {
    return controllerByName.get(name);
  }

  /** What the users uploaded: the description of a job and how long its tasks really run. */
  synchronized void upload(Map<String, Object> job, double seconds) {
    jobs.put((String) job.get("ref"), job);
    runSeconds.put((String) job.get("ref"), seconds);
  }

  synchronized Map<String, Object> job(String ref) {
    return jobs.get(ref);
  }

  synchronized double runS(String ref) {
    return runSeconds.getOrDefault(ref, 1.0);
  }

  synchronized List<Worker> workers() {
    List<Worker> out = new ArrayList<>();
    for (Machine machine : machines.values()) {
      if (machine.worker != null) {
        out.add(machine.worker);
      }
    }
    return out;
  }

  private synchronized Http.Answer answer(Http.Call call) {
    if (!calls.take(1)) {
      return new Http.Answer(429, "{}");
    }
    return switch (call.path()) {
      case "/flavors" -> ok(Json.of("velagerdir", flavors()));
      case "/hosts/release" -> release(Json.object(call.body()));
      default -> call.method().equals("POST") ? rent(Json.object(call.body())) : list(call);
    };
  }

  private static Http.Answer ok(Object body) {
    return new Http.Answer(200, Json.write(body));
  }

  private List<Object> flavors() {
    List<Object> out = new ArrayList<>();
    for (Type type : types) {
      Map<String, Object> item =
          Json.of("name", type.name(), "cpus", type.cpus(), "accelerators", type.gpus());
      item.put("memory_gb", type.memoryGb());
      item.put("cache_gb", 100.0);
      item.put("pull_gb_per_s", 10.0);
      item.put("hourly", type.hourly());
      item.put("low_price", type.hourly() / 3);
      item.put("startup_s", bootS);
      item.put("svaedin", zones);
      out.add(item);
    }
    return out;
  }

  private Http.Answer rent(Map<String, Object> body) {
    String request = (String) body.get("leigubeidni");
    List<String> names = answered.get(request);
    if (names == null) {
      names = rentNew(body);
      if (names.isEmpty()) {
        record.line("cloud: %s: no capacity", Json.write(body));
        return new Http.Answer(503, "{\"error\":\"no capacity\"}");
      }
      answered.put(request, names);
      record.line("cloud: rented %s for %s", names, Json.write(body));
    }
    return ok(Json.of("velar", names));
  }

  private List<String> rentNew(Map<String, Object> body) {
    Type type =
        types.stream().filter(t -> t.name().equals(body.get("velagerd"))).findAny().orElseThrow();
    List<String> names = new ArrayList<>();
    for (long i = 0; i < Math.min(50, Json.count(body, "count", 0)); i++) {
      long used = machines.values().stream().filter(m -> m.type == type).count();
      if (used >= type.capacity()) {
        break;
      }
      String name = String.format("n-%06d", ++created);
      Machine machine =
          new Machine(name, type, (String) body.get("svaedi"), (Boolean) body.get("lanvelar"));
      machines.put(name, machine);
      names.add(name);
      Http.start(() -> boot(machine));
    }
    return names;
  }

  private void boot(Machine machine) {
    try {
      Thread.sleep((long) (bootS * 1000));
      synchronized (this) {
        if (machines.containsKey(machine.name)) {
          machine.worker = new Worker(this, machine);
          record.line("machine %s (%s, %s) is up", machine.name, machine.type.name(), machine.zone);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      record.line("machine %s: %s", machine.name, e);
    }
  }

  private Http.Answer release(Map<String, Object> body) {
    for (Object name : (List<?>) body.get("velar")) {
      Machine machine = machines.remove((String) name);
      if (machine != null) {
        record.line("cloud: machine %s released", name);
        if (machine.worker != null) {
          machine.worker.end("machine released");
        }
      }
    }
    return ok(Json.of());
  }

  /** The list shows a new machine after the lag; one that is gone is not listed. */
  private Http.Answer list(Http.Call call) {
    List<Object> out = new ArrayList<>();
    String from = call.query().getOrDefault("from", "");
    for (Machine machine : machines.values()) {
      if (machine.name.compareTo(from) > 0 && machine.ageS() > lagS) {
        Map<String, Object> item = Json.of("ref", machine.name);
        item.put("endpoint", machine.worker == null ? "127.0.0.1:1" : machine.worker.address());
        item.put("velagerd", machine.type.name());
        item.put("svaedi", machine.zone);
        item.put("lanvelar", machine.spot);
        item.put("astand", machine.worker == null ? "booting" : "running");
        item.put("held_s", machine.ageS() - lagS);
        out.add(item);
      }
    }
    return ok(Json.of("velar", out, "more", false));
  }
}
