package org.ternhinge.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ternhinge.model.JobId;

/**
 * The state of a job as answers to its user show it.
 *
 * @param id the job
 * @param phase its phase
 * @param done number of tasks that are done
 * @param running number of tasks that run
 */
public record JobState(JobId id, Phase phase, int done, int running) {

  /** The phases of a job as users see them; {@code DONE} and {@code CANCELLED} are final. */
  public enum Phase {
    /** No task runs. */
    QUEUED("queued"),
    /** At least one task runs. */
    RUNNING("running"),
    /** All tasks are done. */
    DONE("done"),
    /** Cancelled by its user, or because a dependency was. */
    CANCELLED("cancelled");

    private final String wireName;

    Phase(String word) {
      this.wireName = word;
    }

    /** The phase as messages carry it. */
    public String wireName() {
      return wireName;
    }
  }

  /** The body of the answer to a submission or a cancellation. */
  public byte[] summaryBody() {
    return Json.bytes(summary());
  }

  /** The body of the answer to a query, with the counts of tasks. */
  public byte[] detailBody() {
    return Json.bytes(summary().put("done", done).put("running", running));
  }

  private ObjectNode summary() {
    return Json.object().put("ref", id.value()).put("astand", phase.wireName());
  }
}
