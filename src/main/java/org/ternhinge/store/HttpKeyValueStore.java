package org.ternhinge.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.http.CallTimeouts;
import org.ternhinge.http.ClientResponse;
import org.ternhinge.http.PooledHttpClient;
import org.ternhinge.http.Request;
import org.ternhinge.http.ServiceClient;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.limit.TokenBucket;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.store.ResponseTimeouts.Kind;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * HTTP client of the key-value store that respects the store's published rate limits. Thread-safe.
 */
public final class HttpKeyValueStore implements KeyValueStore {
  /** Time-out in seconds of a page of keys, which may be large. */
  private static final double LIST_TIMEOUT_S = 5;

  /** Seconds after the end of its wait by which a watch must be answered. */
  private static final double WATCH_RESPONSE_MARGIN_S = 5;

  private static final int MILLIS_PER_S = 1000;
  private static final byte[] EMPTY_OBJECT = {'{', '}'};

  private final ServiceClient client;
  private final TokenBucket requestTokens;
  private final TokenBucket writeTokens;
  private final ResponseTimeouts responseTimeouts;

  /**
   * Creates a client of a key-value store.
   *
   * @param requestTokens limits the rate of calls
   * @param writeTokens limits the rate of changed keys
   * @param responseTimeouts time-outs of calls, which adapt to the response times
   */
  public HttpKeyValueStore(
      PooledHttpClient http,
      Endpoint endpoint,
      TokenBucket requestTokens,
      TokenBucket writeTokens,
      ResponseTimeouts responseTimeouts) {
    this.client = new ServiceClient(http, endpoint, this::toErrorOutcome);
    this.requestTokens = requestTokens;
    this.writeTokens = writeTokens;
    this.responseTimeouts = responseTimeouts;
  }

  private <T> CompletableFuture<Outcome<T>> send(
      Request request, double timeoutS, RequestPriority priority, Json.Reader<T> reader) {
    return client.send(
        () -> requestTokens.tryTake(priority, 1),
        request,
        new CallTimeouts(timeoutS, responseTimeouts.maxTimeoutS()),
        body -> Json.decode(body, reader));
  }

  private <T> Outcome<T> toErrorOutcome(ClientResponse reply) {
    return switch (reply.status()) {
      case 404 -> Outcome.notApplied(Reason.NOT_FOUND, "");
      case 409 -> conflict(reply.body());
      case 410 -> Outcome.notApplied(Reason.TOO_OLD, "");
      case 400 ->
          Outcome.notApplied(Reason.INVALID, new String(reply.body(), StandardCharsets.UTF_8));
      case 429 -> {
        requestTokens.pauseAfterRejection();
        yield Outcome.notApplied(Reason.TOO_MANY_REQUESTS, "429");
      }
      case 503 -> Outcome.notApplied(Reason.REFUSED, "503");
      default -> ServiceClient.unexpectedStatus(reply);
    };
  }

  private static <T> Outcome<T> conflict(byte[] body) {
    return Json.decode(body, HttpKeyValueStore::failedKeys)
        .flatMap(keys -> Outcome.notApplied(Reason.CONFLICT, keys));
  }

  /** The keys whose conditions failed, separated and enclosed by spaces. */
  private static String failedKeys(JsonNode body) {
    StringBuilder out = new StringBuilder(" ");
    body.path("failed").forEach(key -> out.append(key.asText()).append(' '));
    return out.toString();
  }

  @Override
  public CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority) {
    Request request = Request.get("/keys/" + key);
    return responseTimeouts
        .measure(
            Kind.ofRead(priority),
            timeoutS -> send(request, timeoutS, priority, HttpKeyValueStore::readResult))
        .thenApply(HttpKeyValueStore::emptyIfNotFound);
  }

  private static ReadResult readResult(JsonNode body) throws WireException {
    return new ReadResult(Optional.of(entry(body)));
  }

  private static Entry entry(JsonNode item) throws WireException {
    return new Entry(Json.text(item, "path"), item.get("v"), revision(item));
  }

  /** The revision of a key's latest change. */
  private static Revision revision(JsonNode item) throws WireException {
    return new Revision(Json.count(item, "utgafunumer"));
  }

  private static Revision storeRevision(JsonNode body) throws WireException {
    return new Revision(Json.count(body, "breytingatal"));
  }

  private static Outcome<ReadResult> emptyIfNotFound(Outcome<ReadResult> outcome) {
    return outcome.isNotApplied(Reason.NOT_FOUND)
        ? Outcome.applied(new ReadResult(Optional.empty()))
        : outcome;
  }

  @Override
  public CompletableFuture<Outcome<Page>> list(
      String prefix, String after, int limit, RequestPriority priority) {
    String from = after == null ? "" : "&from=" + after;
    Request request = Request.get("/keys?prefix=" + prefix + from + "&page=" + limit);
    return send(request, LIST_TIMEOUT_S, priority, HttpKeyValueStore::page);
  }

  private static Page page(JsonNode body) throws WireException {
    List<Entry> entries = new ArrayList<>();
    for (JsonNode item : Json.list(body, "rows")) {
      entries.add(entry(item));
    }
    return new Page(entries, body.path("more").asBoolean(), storeRevision(body));
  }

  @Override
  public CompletableFuture<Outcome<Revision>> compareAndSwap(
      CompareAndSwap compareAndSwap, RequestPriority priority) {
    int changes = compareAndSwap.changes().size();
    if (changes > 0 && !writeTokens.tryTake(priority, changes)) {
      return CompletableFuture.completedFuture(ServiceClient.rateLimited());
    }
    Request request = Request.post("/txn", compareAndSwap.write());
    return responseTimeouts
        .measure(
            Kind.ofWrite(priority),
            timeoutS -> send(request, timeoutS, priority, HttpKeyValueStore::storeRevision))
        .thenApply(this::pauseWritesIfTooMany);
  }

  private Outcome<Revision> pauseWritesIfTooMany(Outcome<Revision> outcome) {
    if (outcome.isNotApplied(Reason.TOO_MANY_REQUESTS)) {
      writeTokens.pauseAfterRejection();
    }
    return outcome;
  }

  @Override
  public CompletableFuture<Outcome<Long>> grantLease(long millis) {
    Request request = Request.post("/holds", Json.bytes(Json.object().put("life_ms", millis)));
    return responseTimeouts.measure(
        Kind.LEASE,
        timeoutS ->
            send(request, timeoutS, RequestPriority.RENEWAL, body -> Json.count(body, "leiga")));
  }

  @Override
  public CompletableFuture<Outcome<Long>> renewLease(long lease, double timeoutS) {
    Request request = Request.post("/holds/" + lease + "/extend", EMPTY_OBJECT);
    return responseTimeouts.observe(
        send(request, timeoutS, RequestPriority.RENEWAL, body -> lease));
  }

  @Override
  public CompletableFuture<Outcome<Long>> revokeLease(long lease) {
    Request request = Request.delete("/holds/" + lease);
    return responseTimeouts.measure(
        Kind.LEASE,
        timeoutS -> send(request, timeoutS, RequestPriority.BOOKKEEPING, body -> lease));
  }

  @Override
  public CompletableFuture<Outcome<WatchResult>> watch(String prefix, Revision from, double waitS) {
    int waitMillis = (int) (waitS * MILLIS_PER_S);
    Request request =
        Request.get("/follow?prefix=" + prefix + "&from=" + from + "&wait_ms=" + waitMillis);
    return send(
        request,
        waitS + WATCH_RESPONSE_MARGIN_S,
        RequestPriority.BOOKKEEPING,
        HttpKeyValueStore::watchResult);
  }

  private static WatchResult watchResult(JsonNode body) throws WireException {
    List<Change.Observed> changes = new ArrayList<>();
    for (JsonNode item : Json.list(body, "log")) {
      changes.add(observed(item));
    }
    return new WatchResult(storeRevision(body), changes);
  }

  private static Change.Observed observed(JsonNode item) throws WireException {
    Revision revision = revision(item);
    Optional<String> key = Json.optionalText(item, "set");
    return key.isPresent()
        ? new Change.Observed(key.get(), item.get("v"), revision)
        : new Change.Observed(Json.text(item, "remove"), null, revision);
  }

  @Override
  public int availableChanges(RequestPriority priority) {
    return requestTokens.available(priority) > 0 ? writeTokens.available(priority) : 0;
  }

  @Override
  public double secondsUntilAvailable(int changes, RequestPriority priority) {
    return Math.max(
        requestTokens.secondsUntil(priority, 1), writeTokens.secondsUntil(priority, changes));
  }
}
