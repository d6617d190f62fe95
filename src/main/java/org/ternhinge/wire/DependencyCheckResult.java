package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * The result of a successful check of a submission's dependencies. The controller that checked them
 * sends it to the controller that writes the job in its place. All dependencies were accepted and
 * none is a service, which remains true because jobs are never deleted.
 *
 * @param cancelled whether any dependency is cancelled, which also cancels the new job
 */
public record DependencyCheckResult(boolean cancelled) {
  /** Field in the body of a 503 between controllers; older versions ignore it. */
  private static final String FIELD = "dependencies_cancelled";

  /** The initial phase of the new job. */
  public JobState.Phase initialPhase() {
    return cancelled ? JobState.Phase.CANCELLED : JobState.Phase.QUEUED;
  }

  /** Serializes the result as JSON. */
  public byte[] write() {
    return Json.bytes(Json.object().put(FIELD, cancelled));
  }

  /** Reads the result from a response body; empty if the body contains none. */
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
