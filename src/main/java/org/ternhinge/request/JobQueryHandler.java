package org.ternhinge.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobState;

/** Handles users' queries for the state of a job. */
public final class JobQueryHandler implements JobRequestHandler {
  /** Leaves time to read the key-value store within the 2 s for which users wait. */
  private static final double FALLBACK_DELAY_S = 0.8;

  private final JobLookup lookup;

  /** Creates a handler that uses the lookup for jobs that are not in the leader's memory. */
  public JobQueryHandler(JobLookup lookup) {
    this.lookup = lookup;
  }

  @Override
  public double fallbackDelayS() {
    return FALLBACK_DELAY_S;
  }

  @Override
  public double deadlineS() {
    return ResponseDeadline.POLL_S;
  }

  @Override
  public void respondAsLeader(
      JobId id, Leadership leadership, Consumer<Response> responseCallback) {
    Optional<JobState> state = leadership.findState(id);
    if (state.isPresent()) {
      responseCallback.accept(fullState(state.get()));
    } else {
      respondFromStore(id, responseCallback);
    }
  }

  @Override
  public void respondFromStore(JobId id, Consumer<Response> responseCallback) {
    lookup.find(
        id,
        RequestPriority.QUERY,
        result -> responseCallback.accept(Responses.forLookup(result, JobQueryHandler::fullState)));
  }

  private static Response fullState(JobState state) {
    return Response.of(Responses.OK, state.detailBody());
  }
}
