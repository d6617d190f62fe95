package org.ternhinge.request;

import java.util.Optional;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.metrics.JobRequestMetrics;
import org.ternhinge.metrics.JobRequestMetrics.Event;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.LockedExecutor;

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
  private final Clock clock;
  private final LockedExecutor lockedExecutor;
  private final JobRequestMetrics metrics;

  /**
   * Creates the router for one kind of request.
   *
   * @param handler responds as the leader or from the key-value store
   * @param lock the controller's lock
   * @param metrics counts how requests end
   */
  public JobRequestRouter(
      JobRequestHandler handler,
      LeadershipRole role,
      PeerClient peers,
      LeaderSearch search,
      Clock clock,
      Lock lock,
      JobRequestMetrics metrics) {
    this.handler = handler;
    this.role = role;
    this.peers = peers;
    this.search = search;
    this.clock = clock;
    this.lockedExecutor = new LockedExecutor(lock);
    this.metrics = metrics;
  }

  /** Seconds after which the user no longer waits for a response. */
  public double deadlineS() {
    return handler.deadlineS();
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
      callLeader(id, request, leader, responseCallback);
    }
  }

  private void callLeader(
      JobId id, Request request, Optional<String> leader, Consumer<Response> responseCallback) {
    LeaderCall call =
        new LeaderCall(
            lockedExecutor,
            fallbackCallback -> respondWithoutLeader(id, request, leader, fallbackCallback),
            responseCallback);
    peers.send(
        leader.orElseThrow(),
        request,
        handler.deadlineS(),
        response -> {
          metrics.count(eventOf(response));
          call.handleLeaderResponse(response);
        });
    clock.schedule(
        handler.fallbackDelayS(), lockedExecutor.guarded(() -> startFallbackIfPending(call)));
  }

  private void startFallbackIfPending(LeaderCall call) {
    if (call.isPending()) {
      metrics.count(Event.LEADER_SLOW);
      call.startFallback();
    }
  }

  private static Event eventOf(Optional<Response> response) {
    if (response.isEmpty()) {
      return Event.LEADER_NO_RESPONSE;
    }
    return Responses.isBusy(response.get()) ? Event.LEADER_BUSY : Event.ANSWERED_BY_PEER;
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
          handler.fallbackDelayS(),
          Responses.divertBusy(fromPeer, busy -> handler.respondFromStore(id, fromStore)));
    } else {
      handler.respondFromStore(
          id,
          Responses.divertBusy(
              fromStore,
              busy -> search.sendToAll(request, alreadyAsked, handler.fallbackDelayS(), fromPeer)));
    }
  }
}
