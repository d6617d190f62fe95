package org.ternhinge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/** Builds the requests of users about jobs, and reads the responses. */
final class UserRequests {
  private static final byte[] NO_BODY = new byte[0];

  private UserRequests() {}

  static Request submission(ObjectNode body) {
    return new Request("POST", "/submissions", Json.bytes(body));
  }

  static Request poll(JobId id) {
    return new Request("GET", "/submissions/" + id, NO_BODY);
  }

  static Request cancellation(JobId id) {
    return new Request("POST", "/submissions/" + id + "/cancel", NO_BODY);
  }

  /** The job state in a response. */
  static String state(Response answer) {
    try {
      return Json.text(Json.parse(answer.body()), "astand");
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Wraps a response handler so that it skips lost responses and status 503, with which a
   * controller says that it cannot decide now.
   */
  static Consumer<Response> ifDecided(Consumer<Response> action) {
    return answer -> {
      if (answer != null && answer.status() != 503) {
        action.accept(answer);
      }
    };
  }
}
