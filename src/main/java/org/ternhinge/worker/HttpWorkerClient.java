package org.ternhinge.worker;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.ternhinge.http.CallTimeouts;
import org.ternhinge.http.ClientResponse;
import org.ternhinge.http.PooledHttpClient;
import org.ternhinge.http.Request;
import org.ternhinge.http.ServiceClient;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.WireException;

/** Sends direct commands to workers over HTTP. Its futures never complete exceptionally. */
public final class HttpWorkerClient implements WorkerClient {
  private static final CallTimeouts TIMEOUTS = CallTimeouts.of(3);

  private final PooledHttpClient http;

  /** Creates a client that can call all workers. */
  public HttpWorkerClient(PooledHttpClient http) {
    this.http = http;
  }

  @Override
  public CompletableFuture<Outcome<Answer>> command(
      Endpoint worker,
      Term term,
      AgentEpoch epoch,
      List<Command> commands,
      BooleanSupplier maySend) {
    Request request = Request.post("/commands", Command.directCommandsBody(term, epoch, commands));
    return http.callIf(maySend, worker, request, TIMEOUTS)
        .thenApply(outcome -> outcome.flatMap(HttpWorkerClient::decode));
  }

  private static Outcome<Answer> decode(ClientResponse reply) {
    try {
      return switch (reply.status()) {
        case 200 -> Outcome.applied(new Answer.Executed(Heartbeat.read(reply.body())));
        case 409 -> Outcome.applied(new Answer.Refused(Heartbeat.read(reply.body())));
        case 400 -> Outcome.notApplied(Reason.INVALID, "400");
        default -> ServiceClient.unexpectedStatus(reply);
      };
    } catch (WireException e) {
      return Outcome.unknown(e.getMessage());
    }
  }

  @Override
  public void closeConnections(Endpoint worker) {
    http.closeIdleConnections(worker);
  }
}
