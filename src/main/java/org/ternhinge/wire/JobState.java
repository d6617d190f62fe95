package org.ternhinge.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ternhinge.model.JobId;

/** What a user is told of a job. */
public record JobState(JobId id, Phase phase, int done, int running) {

  /** The life of a job as users know it. */
  public enum Phase {
    QUEUED("queued"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("cancelled");

    private final String word;

    Phase(String word) {
      this.word = word;
    }

    /** The state as messages have it. */
    public String word() {
      return word;
    }
  }

  /** The answer to a submission or a cancellation. */
  public byte[] brief() {
    return Json.bytes(head());
  }

  /** The answer to a question. */
  public byte[] full() {
    return Json.bytes(head().put("done", done).put("running", running));
  }

  private ObjectNode head() {
    return Json.object().put("ref", id.value()).put("astand", phase.word());
  }
}
