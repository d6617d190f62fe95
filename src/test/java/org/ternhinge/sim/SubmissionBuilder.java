package org.ternhinge.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;

/**
 * Builds submissions for tests, so that the wire field names are defined in one place. A new
 * builder holds the small job of {@link SubmissionJson#smallJob}; each method sets one field and
 * returns this builder.
 */
public final class SubmissionBuilder {
  private static final String SERVICE = "daemon";

  private final ObjectNode body;

  private SubmissionBuilder(ObjectNode body) {
    this.body = body;
  }

  /** A small job of a kind: "batch" for an array, "group" for a gang, "daemon" for a service. */
  public static SubmissionBuilder job(String id, String kind, int tasks) {
    return new SubmissionBuilder(SubmissionJson.smallJob(id, kind, tasks));
  }

  // ---- identity -------------------------------------------------------------------------------

  /** Sets the job's name. */
  public SubmissionBuilder id(String id) {
    body.put("ref", id);
    return this;
  }

  /** Sets the job class, which determines the failover order. */
  public SubmissionBuilder jobClass(String name) {
    body.put("runflokkur", name);
    return this;
  }

  /** Sets the team that owns the job. */
  public SubmissionBuilder team(String team) {
    body.put("eigandi", team);
    return this;
  }

  /** Sets the kind: "batch", "group" or "daemon". */
  public SubmissionBuilder kind(String kind) {
    body.put("gerd", kind);
    return this;
  }

  /** Sets the priority: "low", "normal", "high" or "production". */
  public SubmissionBuilder priority(String priority) {
    body.put("forgang", priority);
    return this;
  }

  /** Sets priority "production" and disallows spot machines if the job is a service. */
  public SubmissionBuilder productionIfService() {
    if (SERVICE.equals(body.get("gerd").asText())) {
      priority("production").spotAllowed(false);
    }
    return this;
  }

  // ---- resources of a task --------------------------------------------------------------------

  /** Sets the CPUs of each task. */
  public SubmissionBuilder cpus(double cpus) {
    body.put("cpus", cpus);
    return this;
  }

  /** Sets the accelerators of each task. */
  public SubmissionBuilder accelerators(double accelerators) {
    body.put("accelerators", accelerators);
    return this;
  }

  /** Sets the memory of each task, in GB. */
  public SubmissionBuilder memoryGb(double memoryGb) {
    body.put("memory_gb", memoryGb);
    return this;
  }

  /** Sets the image of each task. */
  public SubmissionBuilder image(String image) {
    body.put("mynd", image);
    return this;
  }

  // ---- placement ------------------------------------------------------------------------------

  /** Restricts the job to these machine types. */
  public SubmissionBuilder machineTypes(String... types) {
    ArrayNode names = body.putArray("velagerdir");
    for (String type : types) {
      names.add(type);
    }
    return this;
  }

  /** Restricts the job to one zone. */
  public SubmissionBuilder zone(String zone) {
    body.put("svaedi", zone);
    return this;
  }

  /** Sets whether all tasks have to run in one zone. */
  public SubmissionBuilder together(boolean together) {
    body.put("together", together);
    return this;
  }

  /** Sets whether the tasks are spread over the zones. */
  public SubmissionBuilder scatter(boolean scatter) {
    body.put("scatter", scatter);
    return this;
  }

  /** Sets whether tasks may run on spot machines. */
  public SubmissionBuilder spotAllowed(boolean allowed) {
    body.put("lanvelar", allowed);
    return this;
  }

  // ---- times ----------------------------------------------------------------------------------

  /** Sets the run time of each task, in seconds. */
  public SubmissionBuilder runsFor(double seconds) {
    body.put("aaetlun_s", seconds);
    return this;
  }

  /** Sets the checkpoint interval and the time to save a checkpoint, in seconds. */
  public SubmissionBuilder checkpoints(double intervalS, double saveS) {
    body.put("vista_bil_s", intervalS).put("vistun_s", saveS);
    return this;
  }

  /** Sets the deadline, in seconds after the submission. */
  public SubmissionBuilder deadlineS(double seconds) {
    body.put("skiladagur_s", seconds);
    return this;
  }

  // ---- dependencies ---------------------------------------------------------------------------

  /** Sets the jobs that this one depends on; an empty list omits the field. */
  public SubmissionBuilder dependsOn(List<JobId> ids) {
    if (!ids.isEmpty()) {
      ArrayNode names = body.putArray("bidur_eftir");
      ids.forEach(id -> names.add(id.value()));
    }
    return this;
  }

  /** Sets the dependencies field to any JSON value, including malformed ones. */
  public SubmissionBuilder rawDependencies(JsonNode value) {
    body.set("bidur_eftir", value);
    return this;
  }

  // ---- results --------------------------------------------------------------------------------

  /** The job's name. */
  public JobId id() {
    return new JobId(body.get("ref").asText());
  }

  /** The submission itself, not a copy. */
  public ObjectNode json() {
    return body;
  }

  /** The submission as serialized on the wire. */
  public byte[] bytes() {
    return Json.bytes(body);
  }

  /** The submission as parsed by the controllers; it must be valid. */
  public JobSpec spec() {
    return SubmissionJson.parse(body);
  }
}
