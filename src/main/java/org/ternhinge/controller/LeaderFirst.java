package org.ternhinge.controller;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.JobId;

/**
 * Has requests about a job answered by the leader, here or on another node, and otherwise by what
 * the state service holds. Guarded by the controller's lock.
 */
final class LeaderFirst {
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
  private final double leaderTimeoutS;
  private final LeaderAnswer asLeader;
  private final StoreAnswer fromStore;

  /**
   * Creates a router of one kind of requests.
   *
   * @param leaderTimeoutS how long another node that leads is waited for, in seconds
   */
  LeaderFirst(
      LeadershipRole role,
      PeerClient peers,
      double leaderTimeoutS,
      LeaderAnswer asLeader,
      StoreAnswer fromStore) {
    this.role = role;
    this.peers = peers;
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
    Optional<String> leader = role.otherLeader();
    if (leader.isEmpty()) {
      fromStore.give(id, answer);
    } else {
      peers.askOrBusy(
          leader.get(), request, leaderTimeoutS, response -> leaderAnswered(id, response, answer));
    }
  }

  /** Answers another node that takes this one to be the leader; nothing is passed on again. */
  void answerPeer(JobId id, Consumer<Response> answer) {
    role.valid()
        .ifPresentOrElse(
            leadership -> asLeader.give(id, leadership, answer),
            () -> answer.accept(Responses.busy()));
  }

  private void leaderAnswered(JobId id, Response response, Consumer<Response> answer) {
    if (Responses.isBusy(response)) {
      fromStore.give(id, answer);
    } else {
      answer.accept(response);
    }
  }
}
