package org.ternhinge.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.http.HttpCaller;
import org.ternhinge.http.Reply;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.limit.TokenBucket;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.ListedMachine;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.ProvisionRequest;
import org.ternhinge.wire.WireException;

/** The cloud over HTTP, within its published limit. */
public final class HttpCloud implements Cloud {
  private static final double TIMEOUT_S = 5;

  private final HttpCaller http;
  private final Endpoint endpoint;
  private final TokenBucket tokens;

  /** Creates a client that spends a token on each call. */
  public HttpCloud(HttpCaller http, Endpoint endpoint, TokenBucket tokens) {
    this.http = http;
    this.endpoint = endpoint;
    this.tokens = tokens;
  }

  /** Turns a readable answer into a value. */
  private interface Reader<T> {
    T read(JsonNode body) throws WireException;
  }

  private <T> CompletableFuture<Outcome<T>> send(
      String method, String path, byte[] body, RequestPriority priority, Reader<T> reader) {
    if (!tokens.tryTake(priority, 1)) {
      return CompletableFuture.completedFuture(
          Outcome.notApplied(Reason.RATE_LIMITED, "no tokens"));
    }
    return http.call(endpoint, method, path, body, TIMEOUT_S)
        .thenApply(outcome -> outcome.flatMap(reply -> decode(reply, reader)));
  }

  private <T> Outcome<T> decode(Reply reply, Reader<T> reader) {
    try {
      return switch (reply.status()) {
        case 200 -> Outcome.applied(reader.read(Json.parse(reply.body())));
        case 400 -> Outcome.notApplied(Reason.INVALID, "400");
        case 429 -> {
          tokens.drain();
          yield Outcome.notApplied(Reason.RATE_LIMITED, "429");
        }
        case 503 -> {
          String error = Json.parse(reply.body()).path("error").asText();
          boolean full = error.equals("no capacity");
          yield Outcome.notApplied(full ? Reason.CONFLICT : Reason.REFUSED, error);
        }
        default -> Outcome.unknown("status " + reply.status());
      };
    } catch (WireException e) {
      return Outcome.unknown(e.getMessage());
    }
  }

  @Override
  public CompletableFuture<Outcome<List<MachineType>>> machineTypes() {
    return send("GET", "/flavors", null, RequestPriority.QUERY, MachineType::readAll);
  }

  /** A CONFLICT stands for "no capacity", REFUSED for an outage. */
  @Override
  public CompletableFuture<Outcome<List<MachineId>>> provision(ProvisionRequest request) {
    byte[] body = Json.bytes(request.write());
    return send("POST", "/hosts", body, RequestPriority.ATTEMPT, ProvisionRequest::readAnswer);
  }

  @Override
  public CompletableFuture<Outcome<Integer>> release(List<MachineId> machines) {
    byte[] body = ProvisionRequest.release(machines);
    return send("POST", "/hosts/release", body, RequestPriority.BOOKKEEPING, b -> machines.size());
  }

  @Override
  public CompletableFuture<Outcome<ListedMachine.Page>> list(
      MachineId after, int limit, RequestPriority priority) {
    String from = after == null ? "" : "from=" + after.value() + "&";
    return send("GET", "/hosts?" + from + "page=" + limit, null, priority, ListedMachine::readPage);
  }
}
