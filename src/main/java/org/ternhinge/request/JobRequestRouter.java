package org.ternhinge.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.model.JobId;

/**
 * Routes requests about a job to the leader, on this or another node, and otherwise to the
 * key-value store. If neither gives a final response, the request is sent to all other nodes to
 * find the leader. Guarded by the controller's lock.
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
  public void handle(
      JobId id, Request request, RequestOrigin origin, Consumer<Response> responseCallback) {
    Optional<Leadership> leadership = role.valid();
    if (leadership.isPresent()) {
      handler.respondAsLeader(id, leadership.get(), responseCallback);
    } else if (origin == RequestOrigin.PEER) {
      responseCallback.accept(Responses.busy());
    } else {
      forwardToLeader(id, request, responseCallback);
    }
  }

  private void forwardToLeader(JobId id, Request request, Consumer<Response> responseCallback) {
    Optional<String> leader = search.leader();
    if (leader.isEmpty()) {
      respondWithoutLeader(id, request, leader, responseCallback);
    } else {
      peers.sendOrBusy(
          leader.get(),
          request,
          handler.leaderTimeoutS(),
          Responses.divertBusy(
              responseCallback,
              busy -> respondWithoutLeader(id, request, leader, responseCallback)));
    }
  }

  /**
   * Responds from the key-value store, or through a leader that this node does not know. The one
   * that is more likely to respond in time is tried first.
   *
   * @param alreadyAsked the node to which the request was already sent as the leader
   */
  private void respondWithoutLeader(
      JobId id,
      Request request,
      Optional<String> alreadyAsked,
      Consumer<Response> responseCallback) {
    if (search.isStoreUnresponsive()) {
      search.sendToAll(
          request,
          alreadyAsked,
          handler.leaderTimeoutS(),
          Responses.divertBusy(
              responseCallback, busy -> handler.respondFromStore(id, responseCallback)));
    } else {
      handler.respondFromStore(
          id,
          Responses.divertBusy(
              responseCallback,
              busy ->
                  search.sendToAll(
                      request, alreadyAsked, handler.leaderTimeoutS(), responseCallback)));
    }
  }
}
