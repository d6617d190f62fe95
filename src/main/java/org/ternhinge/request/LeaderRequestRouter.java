package org.ternhinge.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.model.JobId;

/**
 * Has requests about a job answered by the leader, here or on another node, and otherwise by what
 * the key-value store holds. Where neither can be had, the other nodes are asked for the leader.
 * Guarded by the controller's lock.
 */
final class LeaderRequestRouter {
  /** Answers as the leader. */
  @FunctionalInterface
  interface LeaderAnswer {
    /** Answers now or later, exactly once. */
    void give(JobId id, Leadership leadership, Consumer<Response> answer);
  }

  /** Answers without the leader. */
  @FunctionalInterface
  interface StoreAnswer {
    /** Answers now or later, exactly once. */
    void give(JobId id, Consumer<Response> answer);
  }

  private final LeadershipRole role;
  private final PeerClient peers;
  private final LeaderSearch search;
  private final double leaderTimeoutS;
  private final LeaderAnswer asLeader;
  private final StoreAnswer fromStore;

  /**
   * Creates a router of one kind of requests.
   *
   * @param leaderTimeoutS how long another node that leads is waited for, in seconds
   */
  LeaderRequestRouter(
      LeadershipRole role,
      PeerClient peers,
      LeaderSearch search,
      double leaderTimeoutS,
      LeaderAnswer asLeader,
      StoreAnswer fromStore) {
    this.role = role;
    this.peers = peers;
    this.search = search;
    this.leaderTimeoutS = leaderTimeoutS;
    this.asLeader = asLeader;
    this.fromStore = fromStore;
  }

  /** Answers a user of this node. */
  void answerUser(JobId id, Request request, Consumer<Response> answer) {
    if (role.valid().isPresent()) {
      asLeader.give(id, role.valid().get(), answer);
      return;
    }
    Optional<String> leader = search.leader();
    if (leader.isEmpty()) {
      answerWithoutLeader(id, request, leader, answer);
    } else {
      peers.askOrBusy(
          leader.get(),
          request,
          leaderTimeoutS,
          orElse(answer, () -> answerWithoutLeader(id, request, leader, answer)));
    }
  }

  /**
   * Answers by what the key-value store holds, or by a leader that this node does not know.
   *
   * @param asked the node that has been asked as the leader already
   */
  private void answerWithoutLeader(
      JobId id, Request request, Optional<String> asked, Consumer<Response> answer) {
    if (search.isStoreSilent()) {
      search.ask(request, asked, leaderTimeoutS, orElse(answer, () -> fromStore.give(id, answer)));
    } else {
      fromStore.give(id, orElse(answer, () -> search.ask(request, asked, leaderTimeoutS, answer)));
    }
  }

  /** Hands a final answer on; one that leaves the request open goes to the next to be asked. */
  private static Consumer<Response> orElse(Consumer<Response> answer, Runnable next) {
    return response -> {
      if (Responses.isBusy(response)) {
        next.run();
      } else {
        answer.accept(response);
      }
    };
  }

  /** Answers another node that takes this one to be the leader; nothing is passed on again. */
  void answerPeer(JobId id, Consumer<Response> answer) {
    role.valid()
        .ifPresentOrElse(
            leadership -> asLeader.give(id, leadership, answer),
            () -> answer.accept(Responses.busy()));
  }
}
