package org.ternhinge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/** Creates and parses job submissions for tests. */
public final class SubmissionJson {
  private SubmissionJson() {}

  /** A submission of a small job with default fields. */
  public static ObjectNode smallJob(String id, String kind, int tasks) {
    ObjectNode json = Json.object().put("ref", id).put("runflokkur", "c").put("eigandi", "red");
    json.put("gerd", kind).put("forgang", "normal").put("verkbitar", tasks);
    json.put("cpus", 1.0).put("accelerators", 0.0).put("memory_gb", 1.0);
    json.put("mynd", "img-1").put("pull_gb", 1.0).putNull("velagerdir").putNull("svaedi");
    json.put("together", false).put("scatter", false).put("lanvelar", true);
    json.put("aaetlun_s", 10.0).put("vista_bil_s", 0.0).put("vistun_s", 0.0);
    return json.putNull("skiladagur_s");
  }

  /** Parses a submission, which must be valid. */
  public static JobSpec parse(ObjectNode json) {
    try {
      return JobSpec.read(json);
    } catch (WireException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
