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

    public String word() {
      return word;
    }
  }

  public byte[] brief() {
    return Json.bytes(head());
  }

  public byte[] full() {
    return Json.bytes(head().put("done", done).put("running", running));
  }

  private ObjectNode head() {
    return Json.object().put("ref", id.value()).put("astand", phase.word());
  }
}
