package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * What a controller found when it looked at the jobs that a submission depends on, told to another
 * controller that may write the job instead. All of them were accepted and none is a service; since
 * jobs never vanish that holds for ever.
 *
 * @param cancelled whether any of them is cancelled, and with it the new job
 */
public record DependencyVerdict(boolean cancelled) {
  /** In the body of a 503 between controllers; a version that doesn't know it ignores it. */
  private static final String FIELD = "dependencies_cancelled";

  /** The state that the new job begins with. */
  public JobState.Phase phase() {
    return cancelled ? JobState.Phase.CANCELLED : JobState.Phase.QUEUED;
  }

  /** The verdict as JSON. */
  public byte[] write() {
    return Json.bytes(Json.object().put(FIELD, cancelled));
  }

  /** The verdict in the body of an answer, if there is one. */
  public static Optional<DependencyVerdict> read(byte[] body) {
    try {
      JsonNode value = Json.parse(body).get(FIELD);
      return value == null || !value.isBoolean()
          ? Optional.empty()
          : Optional.of(new DependencyVerdict(value.booleanValue()));
    } catch (WireException e) {
      return Optional.empty();
    }
  }
}
