package org.ternhinge.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.http.CallTimeouts;
import org.ternhinge.http.ClientResponse;
import org.ternhinge.http.PooledHttpClient;
import org.ternhinge.http.Request;
import org.ternhinge.http.ServiceClient;
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

/**
 * HTTP client of the cloud that stays within its published rate limit. Safe for use by several
 * threads.
 */
public final class HttpCloud implements Cloud {
  private static final CallTimeouts TIMEOUTS = CallTimeouts.of(5);
  private static final String NO_CAPACITY = "no capacity";

  private final ServiceClient client;
  private final TokenBucket tokens;

  /** Creates a client that takes a token for each call. */
  public HttpCloud(PooledHttpClient http, Endpoint endpoint, TokenBucket tokens) {
    this.client = new ServiceClient(http, endpoint, this::errorOf);
    this.tokens = tokens;
  }

  private <T> CompletableFuture<Outcome<T>> send(
      Request request, RequestPriority priority, Json.Reader<T> reader) {
    return client.send(
        () -> tokens.tryTake(priority, 1), request, TIMEOUTS, body -> Json.decode(body, reader));
  }

  private <T> Outcome<T> errorOf(ClientResponse reply) {
    return switch (reply.status()) {
      case 400 -> Outcome.notApplied(Reason.INVALID, "400");
      case 429 -> {
        tokens.pauseAfterRejection();
        yield Outcome.notApplied(Reason.RATE_LIMITED, "429");
      }
      case 503 -> unavailable(reply.body());
      default -> ServiceClient.unexpectedStatus(reply);
    };
  }

  private static <T> Outcome<T> unavailable(byte[] body) {
    return Json.decode(body, HttpCloud::error)
        .flatMap(
            error ->
                Outcome.notApplied(
                    error.equals(NO_CAPACITY) ? Reason.CONFLICT : Reason.REFUSED, error));
  }

  private static String error(JsonNode body) {
    return body.path("error").asText();
  }

  @Override
  public CompletableFuture<Outcome<List<MachineType>>> machineTypes() {
    return send(Request.get("/flavors"), RequestPriority.QUERY, MachineType::readAll);
  }

  @Override
  public CompletableFuture<Outcome<List<MachineId>>> provision(ProvisionRequest provision) {
    Request request = Request.post("/hosts", Json.bytes(provision.write()));
    return send(request, RequestPriority.ATTEMPT, ProvisionRequest::readResponse);
  }

  @Override
  public CompletableFuture<Outcome<Integer>> release(List<MachineId> machines) {
    Request request = Request.post("/hosts/release", ProvisionRequest.releaseBody(machines));
    return send(request, RequestPriority.BOOKKEEPING, body -> machines.size());
  }

  @Override
  public CompletableFuture<Outcome<ListedMachine.Page>> list(
      MachineId after, int limit, RequestPriority priority) {
    String from = after == null ? "" : "from=" + after.value() + "&";
    Request request = Request.get("/hosts?" + from + "page=" + limit);
    return send(request, priority, ListedMachine::readPage);
  }
}
