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
 * Finds the leader by sending a request to all other controllers. A node whose calls the key-value
 * store refuses, or that is partitioned from it, can't read which node leads. Without the search,
 * its users would get 503 for as long as that lasts, although the leader could serve them. Guarded
 * by the controller's lock.
 */
public final class LeaderSearch {
  /** Seconds for which a node counts as the leader after it has responded as the leader. */
  private static final double FOUND_LEADER_TTL_S = 10;

  /** Pause in seconds after a search in which no node has responded as the leader. */
  private static final double SEARCH_PAUSE_S = 1;

  /**
   * The last node that responded as the leader.
   *
   * @param storedLeader the leader according to the key-value store at that time
   */
  private record FoundLeader(String node, MonotonicTime at, Optional<String> storedLeader) {}

  private final LeadershipRole role;
  private final PeerClient peers;
  private final NodeConnectivity connectivity;
  private final List<String> otherNodes;
  private final Clock clock;
  private final LockedExecutor lockedExecutor;
  private Optional<FoundLeader> lastFound = Optional.empty();
  private MonotonicTime nextSearchAt;

  /**
   * Creates a search without a known leader.
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
    this.lockedExecutor = new LockedExecutor(lock);
    this.nextSearchAt = clock.now();
  }

  /**
   * The other node that leads: the one found by a recent search, else the one recorded in the
   * key-value store.
   */
  Optional<String> leader() {
    Optional<String> storedLeader = role.otherLeader();
    Optional<String> recentlyFound =
        lastFound.filter(leader -> isCurrent(leader, storedLeader)).map(FoundLeader::node);
    return recentlyFound.or(() -> storedLeader);
  }

  /** A found leader is dropped if the stored leader changes, since its term may have ended. */
  private boolean isCurrent(FoundLeader leader, Optional<String> storedLeader) {
    return clock.now().secondsSince(leader.at()) < FOUND_LEADER_TTL_S
        && storedLeader.equals(leader.storedLeader());
  }

  /**
   * Whether the key-value store has not responded for so long that the other nodes are to be asked
   * first.
   */
  boolean isStoreUnresponsive() {
    return connectivity.isStoreUnresponsive();
  }

  /**
   * Sends a request to all other nodes at once; the callback receives the leader's response, or 503
   * if no node responds as the leader. May be called without the lock.
   *
   * @param excludedNode the node that has already been asked
   */
  void sendToAll(
      Request request,
      Optional<String> excludedNode,
      double timeoutS,
      Consumer<Response> responseCallback) {
    lockedExecutor.execute(
        () -> sendToAllLocked(request, excludedNode, timeoutS, responseCallback));
  }

  private void sendToAllLocked(
      Request request,
      Optional<String> excludedNode,
      double timeoutS,
      Consumer<Response> responseCallback) {
    List<String> nodes =
        otherNodes.stream().filter(node -> !Optional.of(node).equals(excludedNode)).toList();
    if (nodes.isEmpty() || clock.now().isBefore(nextSearchAt)) {
      responseCallback.accept(Responses.busy());
    } else {
      new Broadcast(nodes, responseCallback).send(request, timeoutS);
    }
  }

  /** One request sent to several nodes; the first final response is passed on. */
  private final class Broadcast {
    private final List<String> nodes;
    private final Consumer<Response> responseCallback;
    private int pendingResponses;
    private boolean completed;

    Broadcast(List<String> nodes, Consumer<Response> responseCallback) {
      this.nodes = nodes;
      this.responseCallback = responseCallback;
      this.pendingResponses = nodes.size();
    }

    void send(Request request, double timeoutS) {
      for (String node : nodes) {
        peers.sendOrBusy(node, request, timeoutS, response -> handleResponse(node, response));
      }
    }

    private void handleResponse(String node, Response response) {
      pendingResponses--;
      if (completed) {
        return;
      }
      if (!Responses.isBusy(response)) {
        completed = true;
        lastFound = Optional.of(new FoundLeader(node, clock.now(), role.otherLeader()));
        responseCallback.accept(response);
      } else if (pendingResponses == 0) {
        completed = true;
        nextSearchAt = clock.now().plusSeconds(SEARCH_PAUSE_S);
        responseCallback.accept(response);
      }
    }
  }
}
