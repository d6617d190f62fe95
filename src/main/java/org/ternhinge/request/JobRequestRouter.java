package org.ternhinge.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.model.JobId;

/**
 * Routes requests about a job to the leader, on this or another node, and otherwise to the key-value store. If neither gives a final response, the request is sent to all other nodes to find the leader. Guarded by the controller's lock.
 */
public final class JobRequestRouter {
  private final JobRequestHandler handler;
  private final LeadershipRole role;
  private final PeerClient peers;
  private final LeaderSearch search;

  /**
   * Creates the router for one kind of request.
   *
   * @param handler responds as the leader or from the key-value store
   */
  public JobRequestRouter(
      JobRequestHandler handler, LeadershipRole role, PeerClient peers, LeaderSearch search) {
    this.handler = handler;
    this.role = role;
    this.peers = peers;
    this.search = search;
  }

  /** Handles a request about a job; the callback is called exactly once, immediately or later. */
  public void handle(JobId id, Request request, RequestOrigin origin, Consumer<Response> answer) {
    Optional<Leadership> leadership = role.valid();
    if (leadership.isPresent()) {
      handler.answerAsLeader(id, leadership.get(), answer);
    } else if (origin == RequestOrigin.PEER) {
      answer.accept(Responses.busy());
    } else {
      forwardToLeader(id, request, answer);
    }
  }

  private void forwardToLeader(JobId id, Request request, Consumer<Response> answer) {
    Optional<String> leader = search.leader();
    if (leader.isEmpty()) {
      answerWithoutLeader(id, request, leader, answer);
    } else {
      peers.askOrBusy(
          leader.get(),
          request,
          handler.leaderTimeoutS(),
          Responses.ifBusy(answer, busy -> answerWithoutLeader(id, request, leader, answer)));
    }
  }

  /**
   * Responds from the key-value store, or through a leader that this node does not know. The one that is more likely to respond in time is tried first.
   *
   * @param asked the node to which the request was already sent as the leader
   */
  private void answerWithoutLeader(
      JobId id, Request request, Optional<String> asked, Consumer<Response> answer) {
    if (search.isStoreUnresponsive()) {
      search.ask(
          request,
          asked,
          handler.leaderTimeoutS(),
          Responses.ifBusy(answer, busy -> handler.answerFromStore(id, answer)));
    } else {
      handler.answerFromStore(
          id,
          Responses.ifBusy(
              answer, busy -> search.ask(request, asked, handler.leaderTimeoutS(), answer)));
    }
  }
}
