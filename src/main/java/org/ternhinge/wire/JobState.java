package org.ternhinge.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ternhinge.model.JobId;

/**
 * The state of a job as reported to its user.
 *
 * @param id the job
 * @param phase its phase
 * @param done number of completed tasks
 * @param running number of running tasks
 */
public record JobState(JobId id, Phase phase, int done, int running) {

  /** The phases of a job as users see them; {@code DONE} and {@code CANCELLED} are final. */
  public enum Phase {
    /** No task is running. */
    QUEUED("queued"),
    /** At least one task is running. */
    RUNNING("running"),
    /** All tasks are done. */
    DONE("done"),
    /** Cancelled by the user or because a dependency was cancelled. */
    CANCELLED("cancelled");

    private final String wireName;

    Phase(String wireName) {
      this.wireName = wireName;
    }

    /** The name of the phase in messages. */
    public String wireName() {
      return wireName;
    }
  }

  /** The response body of a submission or a cancellation. */
  public byte[] summaryBody() {
    return Json.bytes(summary());
  }

  /** The response body of a query, which includes the task counts. */
  public byte[] detailBody() {
    return Json.bytes(summary().put("done", done).put("running", running));
  }

  private ObjectNode summary() {
    return Json.object().put("ref", id.value()).put("astand", phase.wireName());
  }
}
