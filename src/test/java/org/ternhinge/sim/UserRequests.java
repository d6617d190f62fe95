package org.ternhinge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/** The requests that users send about jobs, and the reading of their answers. */
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

  /** The job state that an answer tells. */
  static String state(Response answer) {
    try {
      return Json.text(Json.parse(answer.body()), "astand");
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Passes on answers but those that say only that a node can't decide now, and lost ones. */
  static Consumer<Response> ifDecided(Consumer<Response> action) {
    return answer -> {
      if (answer != null && answer.status() != 503) {
        action.accept(answer);
      }
    };
  }
}
