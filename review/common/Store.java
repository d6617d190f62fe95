import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service as PROTOCOL describes it. */
final class Store {
  private record Value(JsonNode v, long revision, long lease) {}

  private record Change(String key, JsonNode v, long revision) {}

  private static final class Lease {
    double lifeS;
    double ends;
  }

  private static final int KEPT_CHANGES = 10_000;
  private static final int PAGE_ITEMS = 1000;
  private static final int PAGE_BYTES = 512 * 1024;

  private final HttpServer server;
  private final Record record;
  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Change> log = new ArrayList<>();
  private long revision = 1;
  private long lastLease;
  private double rps;
  private double writeRps;
  private int valueBytes;
  private int txnOps;
  private double requestTokens;
  private double writeTokens;
  private double refilledAt;

  /** Called for each applied change, under the store's monitor. */
  interface Listener {
    void changed(String key, JsonNode value);
  }

  private Listener listener = (key, value) -> {};

  Store(Record record, double rps, double writeRps, double valueKb, int txnOps)
      throws IOException {
    this.record = record;
    setLimits(rps, writeRps, valueKb, txnOps);
    requestTokens = rps;
    writeTokens = writeRps;
    server = Http.serve(this::handle);
    Thread expiry = new Thread(this::expireLeases);
    expiry.setDaemon(true);
    expiry.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  synchronized void setListener(Listener to) {
    listener = to;
  }

  synchronized void setLimits(double rps, double writeRps, double valueKb, int txnOps) {
    this.rps = rps;
    this.writeRps = writeRps;
    this.valueBytes = (int) (valueKb * 1024);
    this.txnOps = txnOps;
  }

  synchronized JsonNode value(String key) {
    Value value = keys.get(key);
    return value == null ? null : value.v();
  }

  String leader() {
    JsonNode leader = value("leader");
    return leader == null ? "" : leader.path("node").asText();
  }

  private static double now() {
    return System.nanoTime() / 1e9;
  }

  private void refill() {
    double now = now();
    if (refilledAt > 0) {
      requestTokens = Math.min(rps, requestTokens + (now - refilledAt) * rps);
      writeTokens = Math.min(writeRps, writeTokens + (now - refilledAt) * writeRps);
    }
    refilledAt = now;
  }

  private static Http.Answer answer(int status, ObjectNode body) {
    return new Http.Answer(status, body);
  }

  private Http.Answer handle(String method, String path, Map<String, String> query, JsonNode body)
      throws Exception {
    if (path.equals("/follow")) {
      return follow(query);
    }
    synchronized (this) {
      refill();
      if (requestTokens < 1) {
        return answer(429, Http.object());
      }
      requestTokens--;
      if (path.equals("/keys")) {
        return page(query);
      }
      if (path.startsWith("/keys/")) {
        return get(path.substring("/keys/".length()));
      }
      if (path.equals("/txn")) {
        return transaction(body);
      }
      return hold(method, path, body);
    }
  }

  private static ObjectNode row(String key, Value value) {
    ObjectNode out = Http.object().put("path", key);
    out.set("v", value.v());
    out.put("utgafunumer", value.revision());
    if (value.lease() != 0) {
      out.put("leiga", value.lease());
    }
    return out;
  }

  private Http.Answer get(String key) {
    Value value = keys.get(key);
    return value == null
        ? answer(404, Http.object().put("breytingatal", revision))
        : answer(200, row(key, value));
  }

  private Http.Answer page(Map<String, String> query) throws IOException {
    String prefix = query.get("prefix");
    String from = query.get("from");
    int limit = Math.min(PAGE_ITEMS, Integer.parseInt(query.get("page")));
    ObjectNode out = Http.object();
    ArrayNode rows = out.putArray("rows");
    boolean more = false;
    int bytes = 0;
    for (Map.Entry<String, Value> e :
        keys.tailMap(from == null ? prefix : from, from == null).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        break;
      }
      ObjectNode row = row(e.getKey(), e.getValue());
      bytes += Http.JSON.writeValueAsBytes(row).length + 1;
      if (rows.size() == limit || (bytes > PAGE_BYTES - 100 && !rows.isEmpty())) {
        more = true;
        break;
      }
      rows.add(row);
    }
    return answer(200, out.put("more", more).put("breytingatal", revision));
  }

  private Http.Answer transaction(JsonNode body) throws IOException {
    int changes = body.path("then").size();
    if (changes > txnOps
        || body.path("if").size() > 4 * txnOps
        || Http.JSON.writeValueAsBytes(body).length > 64 * 1024) {
      record.line("state service: 400, transaction too large");
      return answer(400, Http.object().put("error", "too large"));
    }
    for (JsonNode change : body.path("then")) {
      if (change.has("set")
          && Http.JSON.writeValueAsBytes(change.path("v")).length > valueBytes) {
        record.line("state service: 400, value of " + change.path("set").asText() + " too large");
        return answer(400, Http.object().put("error", "value too large"));
      }
    }
    if (changes > 0 && writeTokens < Math.min(changes, writeRps)) {
      return answer(429, Http.object());
    }
    writeTokens -= changes;
    ArrayNode failed = Http.JSON.createArrayNode();
    for (JsonNode condition : body.path("if")) {
      Value value = keys.get(condition.path("path").asText());
      long stated = value == null ? 0 : value.revision();
      if (stated != condition.path("utgafunumer").asLong()) {
        failed.add(condition.path("path").asText());
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode out = Http.object().put("breytingatal", revision);
      out.set("failed", failed);
      return answer(409, out);
    }
    for (JsonNode change : body.path("then")) {
      long lease = change.path("leiga").asLong(0);
      if (change.has("set") && lease != 0 && !leases.containsKey(lease)) {
        return answer(400, Http.object().put("error", "no such lease"));
      }
    }
    if (changes > 0) {
      revision++;
      for (JsonNode change : body.path("then")) {
        if (change.has("set")) {
          put(change.path("set").asText(), change.path("v"), change.path("leiga").asLong(0));
        } else {
          remove(change.path("remove").asText());
        }
      }
      notifyAll();
    }
    return answer(200, Http.object().put("breytingatal", revision));
  }

  private void put(String key, JsonNode v, long lease) {
    keys.put(key, new Value(v, revision, lease));
    log(key, v);
  }

  private void remove(String key) {
    if (keys.remove(key) != null) {
      log(key, null);
    }
  }

  private void log(String key, JsonNode v) {
    log.add(new Change(key, v, revision));
    if (log.size() > KEPT_CHANGES) {
      log.remove(0);
    }
    listener.changed(key, v);
  }

  private Http.Answer hold(String method, String path, JsonNode body) {
    if (path.equals("/holds")) {
      Lease lease = new Lease();
      lease.lifeS = body.path("life_ms").asLong() / 1000.0;
      lease.ends = now() + lease.lifeS;
      leases.put(++lastLease, lease);
      return answer(200, Http.object().put("leiga", lastLease));
    }
    long id = Long.parseLong(path.split("/", -1)[2]);
    if (method.equals("DELETE")) {
      end(id);
      return answer(200, Http.object());
    }
    Lease lease = leases.get(id);
    if (lease == null) {
      return answer(404, Http.object());
    }
    lease.ends = now() + lease.lifeS;
    return answer(200, Http.object().put("leiga", id));
  }

  private void end(long id) {
    if (leases.remove(id) == null) {
      return;
    }
    revision++;
    for (Map.Entry<String, Value> e : new ArrayList<>(keys.entrySet())) {
      if (e.getValue().lease() == id) {
        remove(e.getKey());
      }
    }
    notifyAll();
  }

  private void expireLeases() {
    while (true) {
      synchronized (this) {
        for (Map.Entry<Long, Lease> e : new ArrayList<>(leases.entrySet())) {
          if (now() > e.getValue().ends + 0.02) {
            end(e.getKey());
          }
        }
      }
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private synchronized Http.Answer follow(Map<String, String> query) throws InterruptedException {
    refill();
    if (requestTokens < 1) {
      return answer(429, Http.object());
    }
    requestTokens--;
    String prefix = query.get("prefix");
    long from = Long.parseLong(query.get("from"));
    double until = now() + Math.min(60_000, Integer.parseInt(query.get("wait_ms"))) / 1000.0;
    while (true) {
      if (log.size() >= KEPT_CHANGES && log.get(0).revision() > from + 1) {
        return answer(410, Http.object());
      }
      ObjectNode out = Http.object();
      ArrayNode changes = out.putArray("log");
      for (int i = firstAfter(from); i < log.size(); i++) {
        Change change = log.get(i);
        if (change.key().startsWith(prefix)) {
          ObjectNode item = changes.addObject();
          if (change.v() == null) {
            item.put("remove", change.key());
          } else {
            item.put("set", change.key()).set("v", change.v());
          }
          item.put("utgafunumer", change.revision());
        }
      }
      double left = until - now();
      if (!changes.isEmpty() || left <= 0) {
        return answer(200, out.put("breytingatal", revision));
      }
      wait((long) (left * 1000) + 1);
    }
  }

  private int firstAfter(long from) {
    int low = 0;
    int high = log.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (log.get(middle).revision() > from) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }
}
