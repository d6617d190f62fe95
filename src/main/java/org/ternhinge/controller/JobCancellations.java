package org.ternhinge.controller;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.ledger.Job;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobState;

/**
 * Takes users' cancellations. Only the leader can cancel, and confirms once the cancellation is
 * durable; a job that is over or cancelled already is told so by any node.
 */
final class JobCancellations {
  /** Less than the 5 s that users wait for an answer. */
  private static final double LEADER_TIMEOUT_S = 4;

  /** The leader's own limit, which leaves time for its answer to reach the asking node. */
  private static final double WRITE_TIMEOUT_S = LEADER_TIMEOUT_S - 0.5;

  private final LeadershipRole role;
  private final PeerClient peers;
  private final JobLookup lookup;
  private final Clock clock;

  JobCancellations(LeadershipRole role, PeerClient peers, JobLookup lookup, Clock clock) {
    this.role = role;
    this.peers = peers;
    this.lookup = lookup;
    this.clock = clock;
  }

  /** Takes a cancellation from a user. */
  void cancelForUser(JobId id, Request request, Consumer<Response> answer) {
    if (role.valid().isPresent()) {
      cancelAsLeader(id, role.valid().get(), answer);
      return;
    }
    Optional<String> leader = role.otherLeader();
    if (leader.isEmpty()) {
      confirmIfOver(id, answer);
    } else {
      peers.askOrBusy(
          leader.get(),
          request,
          LEADER_TIMEOUT_S,
          response -> leaderAnswered(id, response, answer));
    }
  }

  /** Takes a cancellation that another node hands to this one as the leader. */
  void cancelForPeer(JobId id, Consumer<Response> answer) {
    role.valid()
        .ifPresentOrElse(
            leadership -> cancelAsLeader(id, leadership, answer),
            () -> answer.accept(Responses.busy()));
  }

  private void cancelAsLeader(JobId id, Leadership leadership, Consumer<Response> answer) {
    Job job = leadership.job(id);
    if (job == null) {
      confirmIfOver(id, answer);
      return;
    }
    Consumer<Response> first = AnswerDeadline.within(WRITE_TIMEOUT_S, clock, answer);
    leadership.cancel(job, state -> first.accept(Responses.known(state)));
  }

  private void leaderAnswered(JobId id, Response response, Consumer<Response> answer) {
    if (Responses.isBusy(response)) {
      confirmIfOver(id, answer);
    } else {
      answer.accept(response);
    }
  }

  private void confirmIfOver(JobId id, Consumer<Response> answer) {
    lookup.find(id, RequestPriority.QUERY, result -> answer.accept(toResponse(result)));
  }

  private static Response toResponse(JobLookup.Result result) {
    if (result instanceof JobLookup.Found found && isOver(found.state())) {
      return Responses.known(found.state());
    }
    return result instanceof JobLookup.Absent ? Response.of(Responses.NOT_FOUND) : Responses.busy();
  }

  private static boolean isOver(JobState state) {
    return state.phase() == JobState.Phase.DONE || state.phase() == JobState.Phase.CANCELLED;
  }
}
