package org.ternhinge.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.wire.DependencyCheckResult;

/**
 * Forwards a submission that this node can't write itself to other controllers, one after the
 * other, until one gives a final response. Each node has a small fixed share of the key-value
 * store's rate limits, so while there is no leader, one node may be out of tokens when other nodes
 * still have some. Likewise, if the key-value store refuses only this node's calls or is
 * unreachable only from here, other nodes can still write to it.
 *
 * <p>A node whose response was lost may have written the job. That is safe, since the write of the
 * next node is conditional on the absence of the job and then finds it. All methods run under the
 * controller's lock.
 */
public final class SubmissionForwarder {
  /**
   * Two such time-outs and a write by this node still end within one second of the user's request.
   */
  private static final double PEER_TIMEOUT_S = 0.4;

  /**
   * Seconds for which a node that gave no response is skipped, since the user waits for its
   * time-out each time.
   */
  private static final double UNRESPONSIVE_S = 2;

  /**
   * Largest number of nodes tried for one submission; with more, a general shortage of tokens would
   * only load all nodes.
   */
  private static final int MAX_NODES = 4;

  /**
   * Seconds after which no further node is tried, since users expect a response within one second.
   */
  private static final double DEADLINE_S = 0.7;

  /** A request that is still to be sent to a node. */
  private record Attempt(String node, Request request) {}

  private final PeerClient peers;
  private final List<String> otherNodes;
  private final Clock clock;
  private final Map<String, MonotonicTime> unresponsiveUntil = new HashMap<>();
  private int nextStartIndex;

  /**
   * Creates a forwarder.
   *
   * @param otherNodes names of all other controllers
   */
  public SubmissionForwarder(PeerClient peers, List<String> otherNodes, Clock clock) {
    this.peers = peers;
    this.otherNodes = otherNodes;
    this.clock = clock;
  }

  /** Whether a node has recently given no response to a submission. */
  boolean isUnresponsive(String node) {
    MonotonicTime until = unresponsiveUntil.get(node);
    return until != null && clock.now().isBefore(until);
  }

  /**
   * Sends the user's original request to the leader only; the response is busy if there is none in
   * time.
   */
  void askLeader(String leader, Request request, Consumer<Response> responseCallback) {
    send(new Attempt(leader, request), responseCallback);
  }

  /**
   * Sends the submission to one node after the other until one gives a final response; busy if none
   * does.
   *
   * @param leader the first node, which receives the user's original request
   * @param dependent whether the job depends on other jobs
   * @param verdict the result of the dependency check, if it was made
   */
  void forward(
      Optional<String> leader,
      Request request,
      boolean dependent,
      Optional<DependencyCheckResult> verdict,
      Consumer<Response> responseCallback) {
    Request toFollowers = dependent ? dependentRequest(request, verdict) : request;
    Deque<Attempt> attempts = new ArrayDeque<>();
    leader
        .filter(node -> !isUnresponsive(node))
        .ifPresent(node -> attempts.add(new Attempt(node, request)));
    addFollowers(attempts, leader, toFollowers);
    tryNext(attempts, clock.now().plusSeconds(DEADLINE_S), responseCallback);
  }

  /** As {@link #forward}, for a job with dependencies that has just been sent to the leader. */
  void forwardToFollowers(
      String leader,
      Request request,
      Optional<DependencyCheckResult> verdict,
      Consumer<Response> responseCallback) {
    Deque<Attempt> attempts = new ArrayDeque<>();
    addFollowers(attempts, Optional.of(leader), dependentRequest(request, verdict));
    tryNext(attempts, clock.now().plusSeconds(DEADLINE_S), responseCallback);
  }

  private static Request dependentRequest(
      Request request, Optional<DependencyCheckResult> verdict) {
    return new Request(request.method(), DependentSubmissionPath.of(verdict), request.body());
  }

  /**
   * Adds nodes other than the leader in round-robin order: each submission starts with the next
   * node.
   */
  private void addFollowers(Deque<Attempt> attempts, Optional<String> leader, Request request) {
    int startIndex = nextStartIndex++;
    for (int i = 0; i < otherNodes.size() && attempts.size() < MAX_NODES; i++) {
      String node = otherNodes.get(Math.floorMod(startIndex + i, otherNodes.size()));
      if (!isUnresponsive(node) && !leader.equals(Optional.of(node))) {
        attempts.add(new Attempt(node, request));
      }
    }
  }

  private void tryNext(
      Deque<Attempt> attempts, MonotonicTime deadline, Consumer<Response> responseCallback) {
    Attempt attempt = attempts.poll();
    if (attempt == null || !clock.now().isBefore(deadline)) {
      responseCallback.accept(Responses.busy());
      return;
    }
    send(
        attempt,
        response -> {
          if (isFinal(response)) {
            responseCallback.accept(response);
          } else {
            tryNext(attempts, deadline, responseCallback);
          }
        });
  }

  /** An older version does not know the path for dependent jobs and responds with 404. */
  private static boolean isFinal(Response response) {
    return !Responses.isBusy(response) && response.status() != Responses.NOT_FOUND;
  }

  private void send(Attempt attempt, Consumer<Response> responseCallback) {
    peers.send(
        attempt.node(),
        attempt.request(),
        PEER_TIMEOUT_S,
        response -> {
          if (response.isEmpty()) {
            unresponsiveUntil.put(attempt.node(), clock.now().plusSeconds(UNRESPONSIVE_S));
          }
          responseCallback.accept(response.orElseGet(Responses::busy));
        });
  }
}
