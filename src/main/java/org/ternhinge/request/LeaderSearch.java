package org.ternhinge.request;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.MonotonicTime;

/**
 * Finds the leader by asking all other controllers. A node that the key-value store refuses, or
 * that is partitioned from it, can't read who leads, and would answer its users 503 for as long as
 * that lasts while the leader could serve them. Guarded by the controller's lock.
 */
public final class LeaderSearch {
  /** Seconds for which a node counts as the leader after it has answered as one. */
  private static final double FOUND_S = 10;

  /** Seconds for which nobody is asked again after no node has answered as the leader. */
  private static final double BACKOFF_S = 1;

  /**
   * The last node that answered as the leader.
   *
   * @param storedLeader who led by the key-value store at that time
   */
  private record FoundLeader(String node, MonotonicTime at, Optional<String> storedLeader) {}

  private final LeadershipRole role;
  private final PeerClient peers;
  private final NodeConnectivity connectivity;
  private final List<String> otherNodes;
  private final Clock clock;
  private final LockedExecutor locked;
  private Optional<FoundLeader> found = Optional.empty();
  private MonotonicTime nextSearchAt;

  /**
   * Creates a search that has found no leader yet.
   *
   * @param otherNodes names of all other controllers
   * @param lock the controller's lock
   */
  public LeaderSearch(
      LeadershipRole role,
      PeerClient peers,
      NodeConnectivity connectivity,
      List<String> otherNodes,
      Clock clock,
      Lock lock) {
    this.role = role;
    this.peers = peers;
    this.connectivity = connectivity;
    this.otherNodes = otherNodes;
    this.clock = clock;
    this.locked = new LockedExecutor(lock);
    this.nextSearchAt = clock.now();
  }

  /**
   * The other node that leads: the one found lately, else the one that the key-value store names.
   */
  Optional<String> leader() {
    Optional<String> storedLeader = role.otherLeader();
    Optional<String> recentlyFound =
        found.filter(leader -> isCurrent(leader, storedLeader)).map(FoundLeader::node);
    return recentlyFound.or(() -> storedLeader);
  }

  /** A change of the stored leader means that the node found before may have lost its term. */
  private boolean isCurrent(FoundLeader leader, Optional<String> storedLeader) {
    return clock.now().secondsSince(leader.at()) < FOUND_S
        && storedLeader.equals(leader.storedLeader());
  }

  /** Whether to ask the other nodes before the key-value store, which has not answered for long. */
  boolean isStoreUnresponsive() {
    return connectivity.isStoreUnresponsive();
  }

  /**
   * Asks all other nodes at once; gives the leader's answer, or 503 where none has one. May be
   * called without the lock.
   *
   * @param except the node that has been asked already
   */
  void ask(Request request, Optional<String> except, double timeoutS, Consumer<Response> answer) {
    locked.execute(() -> askLocked(request, except, timeoutS, answer));
  }

  private void askLocked(
      Request request, Optional<String> except, double timeoutS, Consumer<Response> answer) {
    List<String> nodes =
        otherNodes.stream().filter(node -> !Optional.of(node).equals(except)).toList();
    if (nodes.isEmpty() || clock.now().isBefore(nextSearchAt)) {
      answer.accept(Responses.busy());
    } else {
      new Broadcast(nodes, answer).send(request, timeoutS);
    }
  }

  /** One request sent to several nodes, answered by the first final answer. */
  private final class Broadcast {
    private final List<String> nodes;
    private final Consumer<Response> answer;
    private int unanswered;
    private boolean answered;

    Broadcast(List<String> nodes, Consumer<Response> answer) {
      this.nodes = nodes;
      this.answer = answer;
      this.unanswered = nodes.size();
    }

    void send(Request request, double timeoutS) {
      for (String node : nodes) {
        peers.askOrBusy(node, request, timeoutS, response -> received(node, response));
      }
    }

    private void received(String node, Response response) {
      unanswered--;
      if (answered) {
        return;
      }
      if (!Responses.isBusy(response)) {
        answered = true;
        found = Optional.of(new FoundLeader(node, clock.now(), role.otherLeader()));
        answer.accept(response);
      } else if (unanswered == 0) {
        answered = true;
        nextSearchAt = clock.now().plusSeconds(BACKOFF_S);
        answer.accept(response);
      }
    }
  }
}
