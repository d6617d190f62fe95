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
 * other, until one gives a final answer. Each node has a small fixed share of the key-value store's
 * rate limits, so while nobody leads one node may be out of tokens when its neighbours have some;
 * and a node that the key-value store alone refuses or can't be reached from has neighbours that
 * are served.
 *
 * <p>A node whose answer was lost may have written the job; that is safe, since the write of the
 * next one is conditional on the job's absence and then finds it. All methods run under the
 * controller's lock.
 */
public final class SubmissionForwarder {
  /** Two such waits and an own write still end within a second of the user's request. */
  private static final double PEER_TIMEOUT_S = 0.4;

  /** A node that gave no answer is not asked again for so long: the user waits each time. */
  private static final double UNRESPONSIVE_S = 2;

  /** Nodes asked for one submission; more would only spread the load of a general shortage. */
  private static final int MAX_NODES = 4;

  /** From then on no further node is asked: the user expects an answer within a second. */
  private static final double DEADLINE_S = 0.7;

  /** A request to one node that has yet to be sent. */
  private record Attempt(String node, Request request) {}

  private final PeerClient peers;
  private final List<String> otherNodes;
  private final Clock clock;
  private final Map<String, MonotonicTime> unresponsiveUntil = new HashMap<>();
  private int firstOfNext;

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

  /** Whether a node has just left a submission without an answer. */
  boolean isUnresponsive(String node) {
    MonotonicTime until = unresponsiveUntil.get(node);
    return until != null && clock.now().isBefore(until);
  }

  /** Asks the leader only, by the user's own request; busy where it gives no answer. */
  void askLeader(String leader, Request request, Consumer<Response> answer) {
    ask(new Attempt(leader, request), answer);
  }

  /**
   * Asks nodes in turn until one gives a final answer; busy if none does.
   *
   * @param leader the node to begin with, which gets the user's own request
   * @param dependent whether the job depends on others
   * @param verdict the result of the dependency check, if it was made
   */
  void forward(
      Optional<String> leader,
      Request request,
      boolean dependent,
      Optional<DependencyCheckResult> verdict,
      Consumer<Response> answer) {
    Request toFollowers = dependent ? dependentRequest(request, verdict) : request;
    Deque<Attempt> attempts = new ArrayDeque<>();
    leader
        .filter(node -> !isUnresponsive(node))
        .ifPresent(node -> attempts.add(new Attempt(node, request)));
    addFollowers(attempts, leader, toFollowers);
    tryNext(attempts, clock.now().plusSeconds(DEADLINE_S), answer);
  }

  /** As {@link #forward} for a job with dependencies that the leader has just been asked for. */
  void forwardToFollowers(
      String leader,
      Request request,
      Optional<DependencyCheckResult> verdict,
      Consumer<Response> answer) {
    Deque<Attempt> attempts = new ArrayDeque<>();
    addFollowers(attempts, Optional.of(leader), dependentRequest(request, verdict));
    tryNext(attempts, clock.now().plusSeconds(DEADLINE_S), answer);
  }

  private static Request dependentRequest(
      Request request, Optional<DependencyCheckResult> verdict) {
    return new Request(request.method(), DependentSubmissionPath.of(verdict), request.body());
  }

  /** Adds nodes other than the leader; each submission begins with the next of them. */
  private void addFollowers(Deque<Attempt> attempts, Optional<String> leader, Request request) {
    int first = firstOfNext++;
    for (int i = 0; i < otherNodes.size() && attempts.size() < MAX_NODES; i++) {
      String node = otherNodes.get(Math.floorMod(first + i, otherNodes.size()));
      if (!isUnresponsive(node) && !leader.equals(Optional.of(node))) {
        attempts.add(new Attempt(node, request));
      }
    }
  }

  private void tryNext(Deque<Attempt> attempts, MonotonicTime deadline, Consumer<Response> answer) {
    Attempt attempt = attempts.poll();
    if (attempt == null || !clock.now().isBefore(deadline)) {
      answer.accept(Responses.busy());
      return;
    }
    ask(
        attempt,
        response -> {
          if (isFinal(response)) {
            answer.accept(response);
          } else {
            tryNext(attempts, deadline, answer);
          }
        });
  }

  /** An older version does not know the path of dependent jobs and answers 404. */
  private static boolean isFinal(Response response) {
    return !Responses.isBusy(response) && response.status() != Responses.NOT_FOUND;
  }

  private void ask(Attempt attempt, Consumer<Response> answer) {
    peers.ask(
        attempt.node(),
        attempt.request(),
        PEER_TIMEOUT_S,
        response -> {
          if (response.isEmpty()) {
            unresponsiveUntil.put(attempt.node(), clock.now().plusSeconds(UNRESPONSIVE_S));
          }
          answer.accept(response.orElseGet(Responses::busy));
        });
  }
}
