package org.ternhinge.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.metrics.JobRequestMetrics;
import org.ternhinge.metrics.JobRequestMetrics.Event;
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
  private final JobRequestMetrics metrics;

  /**
   * Creates the router for one kind of request.
   *
   * @param handler responds as the leader or from the key-value store
   * @param metrics counts how requests end
   */
  public JobRequestRouter(
      JobRequestHandler handler,
      LeadershipRole role,
      PeerClient peers,
      LeaderSearch search,
      JobRequestMetrics metrics) {
    this.handler = handler;
    this.role = role;
    this.peers = peers;
    this.search = search;
    this.metrics = metrics;
  }

  /** Handles a request about a job; the callback is called exactly once, immediately or later. */
  public void handle(
      JobId id, Request request, RequestOrigin origin, Consumer<Response> responseCallback) {
    Optional<Leadership> leadership = role.valid();
    if (leadership.isPresent()) {
      handler.respondAsLeader(
          id, leadership.get(), counted(Event.ANSWERED_AS_LEADER, responseCallback));
    } else if (origin == RequestOrigin.PEER) {
      responseCallback.accept(Responses.busy());
    } else {
      forwardToLeader(id, request, responseCallback);
    }
  }

  private void forwardToLeader(JobId id, Request request, Consumer<Response> responseCallback) {
    Optional<String> leader = search.leader();
    if (leader.isEmpty()) {
      metrics.count(Event.NO_LEADER);
      respondWithoutLeader(id, request, leader, responseCallback);
    } else {
      peers.send(
          leader.get(),
          request,
          handler.leaderTimeoutS(),
          response -> handleLeaderResponse(id, request, leader, response, responseCallback));
    }
  }

  private void handleLeaderResponse(
      JobId id,
      Request request,
      Optional<String> leader,
      Optional<Response> response,
      Consumer<Response> responseCallback) {
    if (response.isPresent() && !Responses.isBusy(response.get())) {
      metrics.count(Event.ANSWERED_BY_PEER);
      responseCallback.accept(response.get());
      return;
    }
    metrics.count(response.isPresent() ? Event.LEADER_BUSY : Event.LEADER_NO_RESPONSE);
    respondWithoutLeader(id, request, leader, responseCallback);
  }

  /** Returns a callback that counts final responses and passes on all. */
  private Consumer<Response> counted(Event event, Consumer<Response> responseCallback) {
    return response -> {
      if (!Responses.isBusy(response)) {
        metrics.count(event);
      }
      responseCallback.accept(response);
    };
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
    Consumer<Response> fromStore = counted(Event.ANSWERED_FROM_STORE, responseCallback);
    Consumer<Response> fromPeer = counted(Event.ANSWERED_BY_PEER, responseCallback);
    if (search.isStoreUnresponsive()) {
      search.sendToAll(
          request,
          alreadyAsked,
          handler.leaderTimeoutS(),
          Responses.divertBusy(fromPeer, busy -> handler.respondFromStore(id, fromStore)));
    } else {
      handler.respondFromStore(
          id,
          Responses.divertBusy(
              fromStore,
              busy -> search.sendToAll(request, alreadyAsked, handler.leaderTimeoutS(), fromPeer)));
    }
  }
}
