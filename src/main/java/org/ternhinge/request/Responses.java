package org.ternhinge.request;

import java.util.function.Consumer;
import java.util.function.Function;
import org.ternhinge.http.Response;
import org.ternhinge.wire.DependencyCheckResult;
import org.ternhinge.wire.ErrorBody;
import org.ternhinge.wire.JobState;

/** The answers that several request handlers give. */
public final class Responses {
  public static final int OK = 200;
  static final int CREATED = 201;
  static final int BAD_REQUEST = 400;
  public static final int NOT_FOUND = 404;
  public static final int METHOD_NOT_ALLOWED = 405;
  static final int MISDIRECTED = 421;
  static final int UNPROCESSABLE = 422;
  static final int UNAVAILABLE = 503;

  /** The shortest pause that users keep before they repeat a request anyway, in seconds. */
  private static final int RETRY_AFTER_S = 1;

  private Responses() {}

  /** This node can't serve the request now; another one, or this one later, may. */
  public static Response busy() {
    return Response.busy(RETRY_AFTER_S);
  }

  /** As {@link #busy}, with the result of the dependency check for the controller that asked. */
  static Response busy(DependencyCheckResult verdict) {
    return new Response(UNAVAILABLE, verdict.write(), RETRY_AFTER_S);
  }

  /** Whether an answer is not final, so that another node may be asked. */
  static boolean isBusy(Response response) {
    return response.status() == UNAVAILABLE;
  }

  /**
   * A consumer that passes a final answer on.
   *
   * @param answer gets each answer but a busy one
   * @param onBusy gets a busy answer instead
   */
  static Consumer<Response> ifBusy(Consumer<Response> answer, Consumer<Response> onBusy) {
    return response -> (isBusy(response) ? onBusy : answer).accept(response);
  }

  /** A request that is invalid or can never be served. */
  static Response error(int status, String message) {
    return Response.of(status, new ErrorBody(message).write());
  }

  /** The state of a job that was accepted before, or was just cancelled. */
  static Response known(JobState state) {
    return Response.of(OK, state.summaryBody());
  }

  /** The answer to a lookup; 404 for a job that was never accepted. */
  static Response ofLookup(JobLookup.Result result, Function<JobState, Response> found) {
    return ofLookup(result, found, Response.of(NOT_FOUND));
  }

  /**
   * The answer to a lookup; busy where the key-value store can't be asked.
   *
   * @param found makes the answer for a job that exists
   * @param absent the answer for a job that was never accepted
   */
  static Response ofLookup(
      JobLookup.Result result, Function<JobState, Response> found, Response absent) {
    if (result instanceof JobLookup.Found job) {
      return found.apply(job.state());
    }
    return result instanceof JobLookup.Absent ? absent : busy();
  }
}
