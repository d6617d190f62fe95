package org.ternhinge.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobState;

/** Answers users who poll the state of a job. */
public final class JobQueries implements JobRequestHandler {
  /** Leaves time to read the key-value store within the 2 s that users wait. */
  private static final double LEADER_TIMEOUT_S = 0.8;

  private final JobLookup lookup;

  /** Creates the handler; the lookup serves jobs that the leader does not hold. */
  public JobQueries(JobLookup lookup) {
    this.lookup = lookup;
  }

  @Override
  public double leaderTimeoutS() {
    return LEADER_TIMEOUT_S;
  }

  @Override
  public void answerAsLeader(JobId id, Leadership leadership, Consumer<Response> answer) {
    Optional<JobState> state = leadership.stateOf(id);
    if (state.isPresent()) {
      answer.accept(fullState(state.get()));
    } else {
      answerFromStore(id, answer);
    }
  }

  @Override
  public void answerFromStore(JobId id, Consumer<Response> answer) {
    lookup.find(
        id,
        RequestPriority.QUERY,
        result -> answer.accept(Responses.ofLookup(result, JobQueries::fullState)));
  }

  private static Response fullState(JobState state) {
    return Response.of(Responses.OK, state.detailBody());
  }
}
