package org.ternhinge.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.ledger.Job;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobState;

/**
 * Handles users' cancellations of jobs. Only the leader can cancel a job, and it responds once the
 * cancellation is durable. Any node can confirm that a job is already done or cancelled.
 */
public final class JobCancellationHandler implements JobRequestHandler {
  /** Less than the 5 s for which users wait for a response. */
  private static final double LEADER_TIMEOUT_S = 4;

  /**
   * Deadline of the leader itself, which leaves time for its response to reach the forwarding node.
   */
  private static final double WRITE_TIMEOUT_S = LEADER_TIMEOUT_S - 0.5;

  private final JobLookup lookup;
  private final Clock clock;

  /** Creates a handler that uses the lookup for jobs that are not in the leader's memory. */
  public JobCancellationHandler(JobLookup lookup, Clock clock) {
    this.lookup = lookup;
    this.clock = clock;
  }

  @Override
  public double fallbackDelayS() {
    return LEADER_TIMEOUT_S;
  }

  @Override
  public double deadlineS() {
    return ResponseDeadline.WRITE_S;
  }

  @Override
  public void respondAsLeader(
      JobId id, Leadership leadership, Consumer<Response> responseCallback) {
    Optional<Job> job = leadership.findJob(id);
    if (job.isEmpty()) {
      respondFromStore(id, responseCallback);
      return;
    }
    Consumer<Response> deadlineCallback =
        ResponseDeadline.within(WRITE_TIMEOUT_S, clock, responseCallback);
    leadership.cancel(job.get(), state -> deadlineCallback.accept(Responses.existingJob(state)));
  }

  @Override
  public void respondFromStore(JobId id, Consumer<Response> responseCallback) {
    lookup.find(
        id,
        RequestPriority.QUERY,
        result ->
            responseCallback.accept(
                Responses.forLookup(result, JobCancellationHandler::confirmIfEnded)));
  }

  private static Response confirmIfEnded(JobState state) {
    boolean ended =
        state.phase() == JobState.Phase.DONE || state.phase() == JobState.Phase.CANCELLED;
    return ended ? Responses.existingJob(state) : Responses.busy();
  }
}
