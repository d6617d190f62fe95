package org.ternhinge.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.model.Clock;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.Redirect;
import org.ternhinge.wire.WireException;

/**
 * Handles workers' heartbeats. The leader responds with commands. Other nodes redirect the worker
 * to the leader, or relay the heartbeats of a worker that can't reach the leader. Guarded by the
 * controller's lock.
 */
public final class HeartbeatHandler {
  /** Shorter than the time after which a worker discards the response. */
  private static final double RELAY_TIMEOUT_S = 2.5;

  private final LeadershipRole role;
  private final PeerClient peers;
  private final Clock clock;
  private final HeartbeatRelayPolicy relayPolicy = new HeartbeatRelayPolicy();

  /** Creates a handler that has not redirected any worker yet. */
  public HeartbeatHandler(LeadershipRole role, PeerClient peers, Clock clock) {
    this.role = role;
    this.peers = peers;
    this.clock = clock;
  }

  /** Handles a heartbeat; one that another node has relayed is not relayed again. */
  public void handle(Request request, RequestOrigin origin, Consumer<Response> responseCallback) {
    try {
      handle(Heartbeat.read(request.body()), request, origin, responseCallback);
    } catch (WireException e) {
      responseCallback.accept(Responses.error(Responses.BAD_REQUEST, e.getMessage()));
    }
  }

  private void handle(
      Heartbeat heartbeat,
      Request request,
      RequestOrigin origin,
      Consumer<Response> responseCallback) {
    Optional<Leadership> leadership = role.current();
    if (leadership.isPresent() && !leadership.get().ready()) {
      // A lease must not be renewed before the ledger is loaded: that might keep a cancelled task
      // running.
      leadership.get().whenReady(() -> handle(heartbeat, request, origin, responseCallback));
      return;
    }
    if (leadership.isEmpty() || !respondAsLeader(leadership.get(), heartbeat, responseCallback)) {
      relayOrRedirect(heartbeat, request, origin, responseCallback);
    }
  }

  /**
   * Responds with the commands of this leadership; returns false without a response if the
   * leadership may not respond or has just ended.
   */
  private boolean respondAsLeader(
      Leadership leadership, Heartbeat heartbeat, Consumer<Response> responseCallback) {
    boolean valid = role.isValid();
    if (!role.mayAnswerHeartbeats() || !(valid || leadership.mayRenewLease(heartbeat))) {
      return false;
    }
    Optional<byte[]> response = leadership.processHeartbeat(heartbeat, valid);
    if (role.current().isEmpty()) {
      // The heartbeat carried a higher term, which ended the leadership.
      return false;
    }
    responseCallback.accept(
        response.map(body -> Response.of(Responses.OK, body)).orElse(Responses.busy()));
    return true;
  }

  private void relayOrRedirect(
      Heartbeat heartbeat,
      Request request,
      RequestOrigin origin,
      Consumer<Response> responseCallback) {
    Optional<String> leader = role.otherLeader();
    if (leader.isEmpty() || origin == RequestOrigin.PEER) {
      responseCallback.accept(Responses.busy());
    } else if (relayPolicy.shouldRelay(heartbeat.machine(), clock.now())) {
      peers.sendOrBusy(leader.get(), request, RELAY_TIMEOUT_S, responseCallback);
    } else {
      Redirect redirect = new Redirect(leader.get());
      responseCallback.accept(Response.of(Responses.MISDIRECTED, redirect.write()));
    }
  }
}
