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
import org.ternhinge.model.SteadyTime;

/**
 * Finds the leader by asking all other controllers. A node that the key-value store refuses, or
 * that is cut off from it, can't read who leads, and would answer its users 503 for as long as that
 * lasts while the leader could serve them. Guarded by the controller's lock.
 */
public final class LeaderSearch {
  /** Seconds for which a node is taken for the leader after it has answered as one. */
  private static final double FOUND_S = 10;

  /** Seconds for which nobody is asked again after no node has answered as the leader. */
  private static final double NOBODY_S = 1;

  private final LeadershipRole role;
  private final PeerClient peers;
  private final NodeConnectivity connectivity;
  private final List<String> others;
  private final Clock clock;
  private final LockedExecutor locked;

  /** The node that answered as the leader last, when, and who led by the key-value store then. */
  private record Found(String node, SteadyTime at, Optional<String> knownLeader) {}

  private Found found;
  private SteadyTime nobodyUntil;

  public LeaderSearch(
      LeadershipRole role,
      PeerClient peers,
      NodeConnectivity connectivity,
      List<String> others,
      Clock clock,
      Lock lock) {
    this.role = role;
    this.peers = peers;
    this.connectivity = connectivity;
    this.others = others;
    this.clock = clock;
    this.locked = new LockedExecutor(lock);
    this.nobodyUntil = clock.now();
  }

  /**
   * The other node that leads: the one found lately, else the one that the key-value store names.
   */
  Optional<String> leader() {
    Optional<String> known = role.otherLeader();
    boolean holds =
        found != null
            && clock.now().secondsSince(found.at()) < FOUND_S
            && known.equals(found.knownLeader());
    return holds ? Optional.of(found.node()) : known;
  }

  /** Whether to ask the other nodes before the key-value store, which owes answers for long. */
  boolean isStoreSilent() {
    return connectivity.storeSilent();
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
    List<String> nodes = others.stream().filter(node -> !Optional.of(node).equals(except)).toList();
    if (nodes.isEmpty() || clock.now().isBefore(nobodyUntil)) {
      answer.accept(Responses.busy());
    } else {
      new Round(nodes, answer).ask(request, timeoutS);
    }
  }

  /** One question to all nodes. */
  private final class Round {
    private final List<String> nodes;
    private final Consumer<Response> answer;
    private int open;
    private boolean answered;

    Round(List<String> nodes, Consumer<Response> answer) {
      this.nodes = nodes;
      this.answer = answer;
      this.open = nodes.size();
    }

    void ask(Request request, double timeoutS) {
      for (String node : nodes) {
        peers.askOrBusy(node, request, timeoutS, response -> heard(node, response));
      }
    }

    private void heard(String node, Response response) {
      open--;
      if (answered) {
        return;
      }
      if (!Responses.isBusy(response)) {
        answered = true;
        found = new Found(node, clock.now(), role.otherLeader());
        answer.accept(response);
      } else if (open == 0) {
        answered = true;
        nobodyUntil = clock.now().plusSeconds(NOBODY_S);
        answer.accept(response);
      }
    }
  }
}
