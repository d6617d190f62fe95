import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL, with its limits. Each controller gets a port of its own. */
final class StateService {
  private record Entry(Object value, long version, long lease) {}

  private record Change(String key, Object value, long version) {}

  private static final class Lease {
    long lifeMs;
    long endNanos;
  }

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final Deque<Change> log = new ArrayDeque<>();
  private final Map<Integer, Boolean> refused = new HashMap<>();
  private int valueBytes;
  private int txnOps;
  private final Limit requests;
  private Limit writes;
  private long revision = 1;
  private long lastLease;

  StateService(double rps, double writeRps, double valueKb, int txnOps) {
    this.requests = new Limit(rps);
    this.writes = new Limit(writeRps);
    this.valueBytes = (int) (valueKb * 1024);
    this.txnOps = txnOps;
  }

  /** Lowers the limits from now on; what is stored stays. */
  synchronized void lower(double writeRps, double valueKb, int ops) {
    writes = new Limit(writeRps);
    valueBytes = (int) (valueKb * 1024);
    txnOps = ops;
  }

  /** A token bucket with bursts of one second's worth. */
  static final class Limit {
    private final double rate;
    private double tokens;
    private long at = System.nanoTime();

    Limit(double rate) {
      this.rate = rate;
      this.tokens = rate;
    }

    synchronized boolean take(int count) {
      long now = System.nanoTime();
      tokens = Math.min(rate, tokens + (now - at) / 1e9 * rate);
      at = now;
      if (tokens < count) {
        return false;
      }
      tokens -= count;
      return true;
    }
  }

  String listen(int controller) throws IOException {
    HttpServer server = Http.serve(call -> answer(controller, call));
    return Http.address(server);
  }

  /** Refuses one controller with 503, or serves it again. */
  synchronized void refuse(int controller, boolean on) {
    refused.put(controller, on);
    notifyAll();
  }

  synchronized Object read(String key) {
    expire();
    Entry entry = entries.get(key);
    return entry == null ? null : entry.value();
  }

  private boolean isRefused(int controller) {
    return refused.getOrDefault(controller, false);
  }

  private Http.Answer answer(int controller, Http.Call call) throws Exception {
    synchronized (this) {
      if (isRefused(controller)) {
        return new Http.Answer(503, "{}");
      }
      if (!requests.take(1)) {
        return new Http.Answer(429, "{}");
      }
      expire();
      String path = call.path();
      if (path.equals("/follow")) {
        return follow(controller, call);
      }
      if (path.equals("/keys")) {
        return list(call);
      }
      if (path.startsWith("/keys/")) {
        Entry entry = entries.get(path.substring(6));
        return entry == null
            ? ok(404, Json.of("breytingatal", revision))
            : ok(200, item(path.substring(6), entry));
      }
      if (path.equals("/txn")) {
        return transaction(Json.object(call.body()), call.body());
      }
      return lease(call);
    }
  }

  private static Http.Answer ok(int status, Object body) {
    return new Http.Answer(status, Json.write(body));
  }

  private static Map<String, Object> item(String key, Entry entry) {
    Map<String, Object> out =
        Json.of("path", key, "v", entry.value(), "utgafunumer", entry.version());
    if (entry.lease() != 0) {
      out.put("leiga", entry.lease());
    }
    return out;
  }

  private Http.Answer list(Http.Call call) {
    String prefix = call.query().getOrDefault("prefix", "");
    String from = call.query().get("from");
    int page = Math.min(1000, Integer.parseInt(call.query().getOrDefault("page", "1000")));
    List<Object> rows = new ArrayList<>();
    boolean more = false;
    int bytes = 0;
    for (Map.Entry<String, Entry> e : entries.tailMap(from == null ? prefix : from).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        break;
      }
      if (e.getKey().equals(from)) {
        continue;
      }
      int size = Json.write(e.getValue().value()).length() + e.getKey().length() + 50;
      if (rows.size() == page || bytes + size > 512 * 1024) {
        more = true;
        break;
      }
      bytes += size;
      rows.add(item(e.getKey(), e.getValue()));
    }
    return ok(200, Json.of("rows", rows, "more", more, "breytingatal", revision));
  }

  private Http.Answer transaction(Map<String, Object> body, String text) {
    List<Map<String, Object>> conditions = Json.objects(body.get("if"));
    List<Map<String, Object>> changes = Json.objects(body.get("then"));
    if (changes.size() > txnOps
        || conditions.size() > 4 * txnOps
        || text.getBytes(StandardCharsets.UTF_8).length > 64 * 1024) {
      return ok(400, Json.of("error", "too large"));
    }
    for (Map<String, Object> change : changes) {
      int size = Json.write(change.get("v")).getBytes(StandardCharsets.UTF_8).length;
      long lease = Json.count(change, "leiga", 0);
      if (change.containsKey("set") && size > valueBytes) {
        return ok(400, Json.of("error", "value too large"));
      }
      if (lease != 0 && !leases.containsKey(lease)) {
        return ok(400, Json.of("error", "no such lease"));
      }
    }
    if (!changes.isEmpty() && !writes.take(changes.size())) {
      return ok(429, Json.of());
    }
    List<Object> failed = new ArrayList<>();
    for (Map<String, Object> condition : conditions) {
      Entry entry = entries.get((String) condition.get("path"));
      long version = entry == null ? 0 : entry.version();
      if (version != Json.count(condition, "utgafunumer", -1)) {
        failed.add(condition.get("path"));
      }
    }
    if (!failed.isEmpty()) {
      return ok(409, Json.of("failed", failed, "breytingatal", revision));
    }
    if (!changes.isEmpty()) {
      revision++;
      for (Map<String, Object> change : changes) {
        if (change.containsKey("set")) {
          String key = (String) change.get("set");
          entries.put(
              key, new Entry(change.get("v"), revision, Json.count(change, "leiga", 0)));
          record(new Change(key, change.get("v"), revision));
        } else if (entries.remove((String) change.get("remove")) != null) {
          record(new Change((String) change.get("remove"), null, revision));
        }
      }
      notifyAll();
    }
    return ok(200, Json.of("breytingatal", revision));
  }

  private void record(Change change) {
    log.addLast(change);
    while (log.size() > 10_000) {
      log.removeFirst();
    }
  }

  private Http.Answer lease(Http.Call call) {
    String[] parts = call.path().split("/");
    if (call.path().equals("/holds")) {
      Lease lease = new Lease();
      lease.lifeMs = Json.count(Json.object(call.body()), "life_ms", 0);
      lease.endNanos = System.nanoTime() + lease.lifeMs * 1_000_000;
      leases.put(++lastLease, lease);
      return ok(200, Json.of("leiga", lastLease));
    }
    long id = Long.parseLong(parts[2]);
    Lease lease = leases.get(id);
    if (call.method().equals("DELETE")) {
      if (lease != null) {
        end(id);
      }
      return ok(lease == null ? 404 : 200, Json.of());
    }
    if (lease == null) {
      return ok(404, Json.of());
    }
    lease.endNanos = System.nanoTime() + lease.lifeMs * 1_000_000;
    return ok(200, Json.of("leiga", id));
  }

  private void expire() {
    long now = System.nanoTime();
    for (Long id : List.copyOf(leases.keySet())) {
      if (leases.get(id).endNanos <= now) {
        end(id);
      }
    }
  }

  private void end(long id) {
    leases.remove(id);
    revision++;
    for (String key : List.copyOf(entries.keySet())) {
      if (entries.get(key).lease() == id) {
        entries.remove(key);
        record(new Change(key, null, revision));
      }
    }
    notifyAll();
  }

  private Http.Answer follow(int controller, Http.Call call) throws InterruptedException {
    String prefix = call.query().getOrDefault("prefix", "");
    long from = Long.parseLong(call.query().get("from"));
    long waitMs = Math.min(60_000, Long.parseLong(call.query().getOrDefault("wait_ms", "0")));
    long end = System.nanoTime() + waitMs * 1_000_000;
    if (log.size() == 10_000 && log.peekFirst().version() > from + 1) {
      return ok(410, Json.of());
    }
    while (true) {
      expire();
      List<Object> found = new ArrayList<>();
      if (!isRefused(controller)) {
        for (Change change : log) {
          if (change.version() > from && change.key().startsWith(prefix)) {
            found.add(
                change.value() == null
                    ? Json.of("remove", change.key(), "utgafunumer", change.version())
                    : Json.of(
                        "set", change.key(), "v", change.value(), "utgafunumer", change.version()));
          }
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!found.isEmpty() || (left <= 0 && !isRefused(controller))) {
        return ok(200, Json.of("breytingatal", revision, "log", found));
      }
      wait(Math.max(1, Math.min(50, left)));
    }
  }
}
