package org.ternhinge.request;

import java.util.function.Consumer;
import java.util.function.Function;
import org.ternhinge.http.Response;
import org.ternhinge.wire.DependencyCheckResult;
import org.ternhinge.wire.ErrorBody;
import org.ternhinge.wire.JobState;

/** Responses shared by several request handlers. */
public final class Responses {
  public static final int OK = 200;
  static final int CREATED = 201;
  static final int BAD_REQUEST = 400;
  public static final int NOT_FOUND = 404;
  public static final int METHOD_NOT_ALLOWED = 405;
  static final int MISDIRECTED = 421;
  static final int UNPROCESSABLE = 422;
  static final int UNAVAILABLE = 503;

  /** The shortest pause in seconds that users observe between repeated requests in any case. */
  private static final int RETRY_AFTER_S = 1;

  private Responses() {}

  /**
   * The response when this node can't serve the request now; another node, or this one later, may
   * be able to.
   */
  public static Response busy() {
    return Response.busy(RETRY_AFTER_S);
  }

  /**
   * As {@link #busy}, with the result of the dependency check for the controller that forwarded the
   * request.
   */
  static Response busy(DependencyCheckResult verdict) {
    return new Response(UNAVAILABLE, verdict.write(), RETRY_AFTER_S);
  }

  /** Whether a response is not final, so that the request may be sent to another node. */
  public static boolean isBusy(Response response) {
    return response.status() == UNAVAILABLE;
  }

  /**
   * Returns a callback that passes on final responses and diverts busy ones.
   *
   * @param responseCallback receives each response that is not busy
   * @param onBusy receives busy responses
   */
  static Consumer<Response> divertBusy(
      Consumer<Response> responseCallback, Consumer<Response> onBusy) {
    return response -> (isBusy(response) ? onBusy : responseCallback).accept(response);
  }

  /** The response to a request that is invalid or can never be served. */
  static Response error(int status, String message) {
    return Response.of(status, new ErrorBody(message).write());
  }

  /** The response with the state of a job that was accepted before or has just been cancelled. */
  static Response existingJob(JobState state) {
    return Response.of(OK, state.summaryBody());
  }

  /** The response for the result of a lookup; 404 for a job that was never accepted. */
  static Response forLookup(JobLookup.Result result, Function<JobState, Response> found) {
    return forLookup(result, found, Response.of(NOT_FOUND));
  }

  /**
   * The response for the result of a lookup; busy if the key-value store can't be read.
   *
   * @param found creates the response for a job that exists
   * @param absent the response for a job that was never accepted
   */
  static Response forLookup(
      JobLookup.Result result, Function<JobState, Response> found, Response absent) {
    if (result instanceof JobLookup.Found job) {
      return found.apply(job.state());
    }
    return result instanceof JobLookup.Absent ? absent : busy();
  }
}
