package org.ternhinge.request;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.model.Clock;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.Redirect;
import org.ternhinge.wire.WireException;

/**
 * Answers workers' heartbeats. The leader answers them with commands; another node redirects the
 * worker to the leader, or relays for a worker that can't reach the leader. Guarded by the
 * controller's lock.
 */
public final class HeartbeatHandler {
  /** Shorter than the time after which a worker drops the answer. */
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

  /** Answers a heartbeat; one that another node relays is not relayed a second time. */
  public void handle(Request request, RequestOrigin origin, Consumer<Response> answer) {
    try {
      handle(Heartbeat.read(request.body()), request, origin, answer);
    } catch (WireException e) {
      answer.accept(Responses.error(Responses.BAD_REQUEST, e.getMessage()));
    }
  }

  private void handle(
      Heartbeat heartbeat, Request request, RequestOrigin origin, Consumer<Response> answer) {
    Optional<Leadership> leadership = role.held();
    if (leadership.isPresent() && !leadership.get().ready()) {
      // Without the ledger a lease must not be renewed: a cancelled task might live on by it.
      leadership.get().whenReady(() -> handle(heartbeat, request, origin, answer));
      return;
    }
    if (leadership.isEmpty() || !answerAsLeader(leadership.get(), heartbeat, answer)) {
      sendToLeader(heartbeat, request, origin, answer);
    }
  }

  /** Answers with this leadership's commands; false where it may not, or has just ended. */
  private boolean answerAsLeader(
      Leadership leadership, Heartbeat heartbeat, Consumer<Response> answer) {
    boolean valid = role.isValid();
    if (!role.mayAnswerWorkers() || !(valid || leadership.mayKeepAlive(heartbeat))) {
      return false;
    }
    Optional<List<Command>> commands = leadership.heartbeat(heartbeat, valid);
    if (role.held().isEmpty()) {
      // The heartbeat carried a higher term, which has ended the leadership.
      return false;
    }
    answer.accept(
        commands
            .map(list -> Command.heartbeatResponse(leadership.authority().term(), list))
            .map(body -> Response.of(Responses.OK, body))
            .orElse(Responses.busy()));
    return true;
  }

  private void sendToLeader(
      Heartbeat heartbeat, Request request, RequestOrigin origin, Consumer<Response> answer) {
    Optional<String> leader = role.otherLeader();
    if (leader.isEmpty() || origin == RequestOrigin.PEER) {
      answer.accept(Responses.busy());
    } else if (relayPolicy.shouldRelay(heartbeat.machine(), clock.now())) {
      peers.askOrBusy(leader.get(), request, RELAY_TIMEOUT_S, answer);
    } else {
      Redirect redirect = new Redirect(leader.get());
      answer.accept(Response.of(Responses.MISDIRECTED, redirect.write()));
    }
  }
}
