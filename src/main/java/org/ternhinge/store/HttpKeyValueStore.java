package org.ternhinge.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.http.HttpCaller;
import org.ternhinge.http.Reply;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.limit.TokenBucket;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.store.ResponseTimeouts.Kind;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/** The key-value store over HTTP, within its published limits. */
public final class HttpKeyValueStore implements KeyValueStore {
  /** Time-out of a page of keys, which may be large. */
  private static final double LIST_S = 5;

  /** How much later than its own end a watch may be answered. */
  private static final double WATCH_SLACK_S = 5;

  private static final byte[] EMPTY_OBJECT = {'{', '}'};

  private final HttpCaller http;
  private final Endpoint endpoint;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private final ResponseTimeouts timeouts;

  /**
   * Creates a client of a key-value store.
   *
   * @param requests limits the calls
   * @param writes limits the changes that they make
   * @param timeouts of calls, by how quickly the service answers
   */
  public HttpKeyValueStore(
      HttpCaller http,
      Endpoint endpoint,
      TokenBucket requests,
      TokenBucket writes,
      ResponseTimeouts timeouts) {
    this.http = http;
    this.endpoint = endpoint;
    this.requests = requests;
    this.writes = writes;
    this.timeouts = timeouts;
  }

  /** Turns a readable answer into a value. */
  private interface Reader<T> {
    T read(JsonNode body) throws WireException;
  }

  private <T> CompletableFuture<Outcome<T>> send(
      String method,
      String path,
      byte[] body,
      double limitS,
      RequestPriority priority,
      Reader<T> reader) {
    if (!requests.tryTake(priority, 1)) {
      return CompletableFuture.completedFuture(
          Outcome.notApplied(Reason.RATE_LIMITED, "no tokens"));
    }
    return http.call(endpoint, method, path, body, limitS, timeouts.capS())
        .thenApply(outcome -> outcome.flatMap(reply -> decode(reply, reader)));
  }

  private <T> Outcome<T> decode(Reply reply, Reader<T> reader) {
    try {
      return switch (reply.status()) {
        case 200 -> Outcome.applied(reader.read(Json.parse(reply.body())));
        case 404 -> Outcome.notApplied(Reason.NOT_FOUND, "");
        case 409 -> Outcome.notApplied(Reason.CONFLICT, failed(reply.body()));
        case 410 -> Outcome.notApplied(Reason.TOO_OLD, "");
        case 400 ->
            Outcome.notApplied(Reason.INVALID, new String(reply.body(), StandardCharsets.UTF_8));
        case 429 -> {
          requests.drain();
          yield Outcome.notApplied(Reason.REFUSED, "429");
        }
        case 503 -> Outcome.notApplied(Reason.REFUSED, "503");
        default -> Outcome.unknown("status " + reply.status());
      };
    } catch (WireException e) {
      return Outcome.unknown(e.getMessage());
    }
  }

  private static String failed(byte[] body) throws WireException {
    StringBuilder out = new StringBuilder(" ");
    Json.parse(body).path("failed").forEach(k -> out.append(k.asText()).append(' '));
    return out.toString();
  }

  private static Entry entry(JsonNode item) throws WireException {
    return new Entry(
        Json.text(item, "path"), item.get("v"), new Revision(Json.count(item, "utgafunumer")));
  }

  @Override
  public CompletableFuture<Outcome<Read>> get(String key, RequestPriority priority) {
    Reader<Read> reader = body -> new Read(Optional.of(entry(body)));
    return timeouts
        .measure(
            Kind.ofRead(priority),
            limitS -> send("GET", "/keys/" + key, null, limitS, priority, reader))
        .thenApply(HttpKeyValueStore::emptyIfNotFound);
  }

  private static Outcome<Read> emptyIfNotFound(Outcome<Read> outcome) {
    return outcome.isBecause(Reason.NOT_FOUND)
        ? Outcome.applied(new Read(Optional.empty()))
        : outcome;
  }

  @Override
  public CompletableFuture<Outcome<Page>> list(
      String prefix, String after, int limit, RequestPriority priority) {
    String path = "/keys?prefix=" + prefix + (after == null ? "" : "&from=" + after);
    return send(
        "GET",
        path + "&page=" + limit,
        null,
        LIST_S,
        priority,
        body -> {
          List<Entry> entries = new ArrayList<>();
          for (JsonNode item : Json.list(body, "rows")) {
            entries.add(entry(item));
          }
          return new Page(
              entries,
              body.path("more").asBoolean(),
              new Revision(Json.count(body, "breytingatal")));
        });
  }

  @Override
  public CompletableFuture<Outcome<Revision>> compareAndSwap(
      CompareAndSwap compareAndSwap, RequestPriority priority) {
    int changes = compareAndSwap.changes().size();
    if (changes > 0 && !writes.tryTake(priority, changes)) {
      return CompletableFuture.completedFuture(
          Outcome.notApplied(Reason.RATE_LIMITED, "no tokens"));
    }
    byte[] body = compareAndSwap.write();
    Reader<Revision> reader = answer -> new Revision(Json.count(answer, "breytingatal"));
    return timeouts
        .measure(
            Kind.ofWrite(priority), limitS -> send("POST", "/txn", body, limitS, priority, reader))
        .thenApply(this::pauseWritesIfTooMany);
  }

  private Outcome<Revision> pauseWritesIfTooMany(Outcome<Revision> outcome) {
    if (outcome instanceof Outcome.NotApplied<Revision> not && not.detail().equals("429")) {
      writes.drain();
    }
    return outcome;
  }

  @Override
  public CompletableFuture<Outcome<Long>> grant(long millis) {
    byte[] body = Json.bytes(Json.object().put("life_ms", millis));
    Reader<Long> reader = answer -> Json.count(answer, "leiga");
    return timeouts.measure(
        Kind.LEASE,
        limitS -> send("POST", "/holds", body, limitS, RequestPriority.RENEWAL, reader));
  }

  @Override
  public CompletableFuture<Outcome<Long>> renew(long lease, double limitS) {
    String path = "/holds/" + lease + "/extend";
    return timeouts.observe(
        send("POST", path, EMPTY_OBJECT, limitS, RequestPriority.RENEWAL, answer -> lease));
  }

  @Override
  public CompletableFuture<Outcome<Long>> revoke(long lease) {
    String path = "/holds/" + lease;
    return timeouts.measure(
        Kind.LEASE,
        limitS -> send("DELETE", path, null, limitS, RequestPriority.BOOKKEEPING, answer -> lease));
  }

  @Override
  public CompletableFuture<Outcome<Changes>> watch(String prefix, Revision from, double waitS) {
    String path = "/follow?prefix=" + prefix + "&from=" + from + "&wait_ms=" + (int) (waitS * 1000);
    return send(
        "GET",
        path,
        null,
        waitS + WATCH_SLACK_S,
        RequestPriority.BOOKKEEPING,
        body -> {
          List<Change.Seen> changes = new ArrayList<>();
          for (JsonNode item : Json.list(body, "log")) {
            Revision rev = new Revision(Json.count(item, "utgafunumer"));
            String put = Json.textOrNull(item, "set");
            changes.add(
                put != null
                    ? new Change.Seen(put, item.get("v"), rev)
                    : new Change.Seen(Json.text(item, "remove"), null, rev));
          }
          return new Changes(new Revision(Json.count(body, "breytingatal")), changes);
        });
  }

  @Override
  public int changesNow(RequestPriority priority) {
    return requests.available(priority) > 0 ? writes.available(priority) : 0;
  }

  @Override
  public double secondsUntilSwapAllowed(int changes, RequestPriority priority) {
    return Math.max(requests.secondsUntil(priority, 1), writes.secondsUntil(priority, changes));
  }
}
