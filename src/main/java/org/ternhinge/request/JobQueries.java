package org.ternhinge.request;

import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobState;

/**
 * Answers users' questions about jobs. The leader answers from memory; other nodes ask it, and read
 * the key-value store where it can't be asked.
 */
public final class JobQueries {
  /** Leaves time to read the key-value store within the 2 s that users wait. */
  private static final double LEADER_TIMEOUT_S = 0.8;

  private final JobLookup lookup;
  private final LeaderRequestRouter router;

  public JobQueries(LeadershipRole role, PeerClient peers, LeaderSearch search, JobLookup lookup) {
    this.lookup = lookup;
    this.router =
        new LeaderRequestRouter(
            role, peers, search, LEADER_TIMEOUT_S, this::answerAsLeader, this::answerFromStore);
  }

  /** Answers a question that a user has put to this node. */
  public void answerUser(JobId id, Request request, Consumer<Response> answer) {
    router.answerUser(id, request, answer);
  }

  /** Answers a question that another node takes this one to be the leader for. */
  public void answerPeer(JobId id, Consumer<Response> answer) {
    router.answerPeer(id, answer);
  }

  private void answerAsLeader(JobId id, Leadership leadership, Consumer<Response> answer) {
    JobState state = leadership.stateOf(id);
    if (state != null) {
      answer.accept(Response.of(Responses.OK, state.full()));
    } else {
      answerFromStore(id, answer);
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
