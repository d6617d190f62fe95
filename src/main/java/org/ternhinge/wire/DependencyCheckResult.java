package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * The result of checking the dependencies of a submission, sent by the controller that checked them
 * to the one that writes the job instead. All dependencies were accepted and none is a service,
 * which stays true since jobs are never deleted.
 *
 * @param cancelled whether any dependency is cancelled, and therefore the new job as well
 */
public record DependencyCheckResult(boolean cancelled) {
  /** Field in the body of a 503 between controllers; older versions ignore it. */
  private static final String FIELD = "dependencies_cancelled";

  /** The initial state of the new job. */
  public JobState.Phase initialPhase() {
    return cancelled ? JobState.Phase.CANCELLED : JobState.Phase.QUEUED;
  }

  /** The verdict as JSON. */
  public byte[] write() {
    return Json.bytes(Json.object().put(FIELD, cancelled));
  }

  /** Reads the verdict in the body of an answer, if there is one. */
  public static Optional<DependencyCheckResult> read(byte[] body) {
    try {
      JsonNode value = Json.parse(body).get(FIELD);
      return value == null || !value.isBoolean()
          ? Optional.empty()
          : Optional.of(new DependencyCheckResult(value.booleanValue()));
    } catch (WireException e) {
      return Optional.empty();
    }
  }
}
