package org.ternhinge.request;

import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.ledger.Job;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobState;

/**
 * Takes users' cancellations. Only the leader can cancel, and confirms once the cancellation is
 * durable; a job that is over or cancelled already is told so by any node.
 */
public final class JobCancellations {
  /** Less than the 5 s that users wait for an answer. */
  private static final double LEADER_TIMEOUT_S = 4;

  /** The leader's own limit, which leaves time for its answer to reach the asking node. */
  private static final double WRITE_TIMEOUT_S = LEADER_TIMEOUT_S - 0.5;

  private final JobLookup lookup;
  private final Clock clock;
  private final LeaderRequestRouter router;

  public JobCancellations(
      LeadershipRole role, PeerClient peers, LeaderSearch search, JobLookup lookup, Clock clock) {
    this.lookup = lookup;
    this.clock = clock;
    this.router =
        new LeaderRequestRouter(
            role, peers, search, LEADER_TIMEOUT_S, this::cancelAsLeader, this::confirmIfOver);
  }

  /** Takes a cancellation from a user. */
  public void cancelForUser(JobId id, Request request, Consumer<Response> answer) {
    router.answerUser(id, request, answer);
  }

  /** Takes a cancellation that another node hands to this one as the leader. */
  public void cancelForPeer(JobId id, Consumer<Response> answer) {
    router.answerPeer(id, answer);
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
