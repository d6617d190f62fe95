package org.ternhinge.controller;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobState;

/**
 * Answers users' questions about jobs. The leader answers from memory; other nodes ask it, and read
 * the state service where it can't be asked.
 */
final class JobQueries {
  /** Leaves time to read the state service within the 2 s that users wait. */
  private static final double LEADER_TIMEOUT_S = 0.8;

  private final LeadershipRole role;
  private final PeerClient peers;
  private final JobLookup lookup;

  JobQueries(LeadershipRole role, PeerClient peers, JobLookup lookup) {
    this.role = role;
    this.peers = peers;
    this.lookup = lookup;
  }

  /** Answers a question that a user has put to this node. */
  void answerUser(JobId id, Request request, Consumer<Response> answer) {
    if (role.valid().isPresent()) {
      answerAsLeader(id, role.valid().get(), answer);
      return;
    }
    Optional<String> leader = role.otherLeader();
    if (leader.isEmpty()) {
      answerFromStore(id, answer);
    } else {
      peers.askOrBusy(
          leader.get(),
          request,
          LEADER_TIMEOUT_S,
          response -> leaderAnswered(id, response, answer));
    }
  }

  /** Answers a question that another node takes this one to be the leader for. */
  void answerPeer(JobId id, Consumer<Response> answer) {
    role.valid()
        .ifPresentOrElse(
            leadership -> answerAsLeader(id, leadership, answer),
            () -> answer.accept(Responses.busy()));
  }

  private void answerAsLeader(JobId id, Leadership leadership, Consumer<Response> answer) {
    JobState state = leadership.stateOf(id);
    if (state != null) {
      answer.accept(Response.of(Responses.OK, state.full()));
    } else {
      answerFromStore(id, answer);
    }
  }

  private void leaderAnswered(JobId id, Response response, Consumer<Response> answer) {
    if (Responses.isBusy(response)) {
      answerFromStore(id, answer);
    } else {
      answer.accept(response);
    }
  }

  private void answerFromStore(JobId id, Consumer<Response> answer) {
    lookup.find(id, RequestPriority.QUERY, result -> answer.accept(toResponse(result)));
  }

  private static Response toResponse(JobLookup.Result result) {
    if (result instanceof JobLookup.Found found) {
      return Response.of(Responses.OK, found.state().full());
    }
    return result instanceof JobLookup.Absent ? Response.of(Responses.NOT_FOUND) : Responses.busy();
  }
}
