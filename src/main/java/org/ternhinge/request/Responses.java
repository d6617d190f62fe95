package org.ternhinge.request;

import org.ternhinge.http.Response;
import org.ternhinge.wire.DependencyVerdict;
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

  /** The shortest pause that users keep before they repeat a request anyway. */
  private static final int RETRY_AFTER_S = 1;

  private Responses() {}

  /** This node can't take the request now; another one, or this one later, may. */
  public static Response busy() {
    return Response.busy(RETRY_AFTER_S);
  }

  /** As {@link #busy}, with what was found out so far for the controller that has asked. */
  static Response busy(DependencyVerdict verdict) {
    return new Response(UNAVAILABLE, verdict.write(), RETRY_AFTER_S);
  }

  /** Whether an answer leaves the request open, to be taken by whoever can. */
  static boolean isBusy(Response response) {
    return response.status() == UNAVAILABLE;
  }

  /** A request that never can be taken. */
  static Response error(int status, String message) {
    return Response.of(status, new ErrorBody(message).write());
  }

  /** The state of a job that was accepted before, or was just cancelled. */
  static Response known(JobState state) {
    return Response.of(OK, state.brief());
  }
}
