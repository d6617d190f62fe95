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
 * Takes workers' heartbeats. The leader answers them with commands; another node sends the worker
 * there, or relays for one that can't reach the leader.
 */
public final class HeartbeatHandler {
  /** Shorter than the time after which a worker drops the answer. */
  private static final double RELAY_TIMEOUT_S = 2.5;

  private final LeadershipRole role;
  private final PeerClient peers;
  private final Clock clock;
  private final HeartbeatRelay relay = new HeartbeatRelay();

  public HeartbeatHandler(LeadershipRole role, PeerClient peers, Clock clock) {
    this.role = role;
    this.peers = peers;
    this.clock = clock;
  }

  /**
   * Answers a heartbeat.
   *
   * @param fromPeer whether another node relays it; it is not relayed once more
   */
  public void take(Request request, boolean fromPeer, Consumer<Response> answer) {
    try {
      take(Heartbeat.read(request.body()), request, fromPeer, answer);
    } catch (WireException e) {
      answer.accept(Responses.error(Responses.BAD_REQUEST, e.getMessage()));
    }
  }

  private void take(
      Heartbeat heartbeat, Request request, boolean fromPeer, Consumer<Response> answer) {
    Optional<Leadership> leadership = role.held();
    if (leadership.isPresent() && !leadership.get().ready()) {
      // Without the ledger a lease must not be renewed: a cancelled task might live on by it.
      leadership.get().whenReady(() -> take(heartbeat, request, fromPeer, answer));
      return;
    }
    if (leadership.isEmpty() || !answerAsLeader(leadership.get(), heartbeat, answer)) {
      sendToLeader(heartbeat, request, fromPeer, answer);
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
      // The report showed a higher term, which has ended the leadership.
      return false;
    }
    answer.accept(
        commands
            .map(list -> Command.answer(leadership.authority().term(), list))
            .map(body -> Response.of(Responses.OK, body))
            .orElse(Responses.busy()));
    return true;
  }

  private void sendToLeader(
      Heartbeat heartbeat, Request request, boolean fromPeer, Consumer<Response> answer) {
    Optional<String> leader = role.otherLeader();
    if (leader.isEmpty() || fromPeer) {
      answer.accept(Responses.busy());
    } else if (relay.relays(heartbeat.machine(), clock.now())) {
      peers.askOrBusy(leader.get(), request, RELAY_TIMEOUT_S, answer);
    } else {
      Redirect redirect = new Redirect(leader.get());
      answer.accept(Response.of(Responses.MISDIRECTED, redirect.write()));
    }
  }
}
