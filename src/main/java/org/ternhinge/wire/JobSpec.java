package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Resources;

/**
 * A job as its user submits it.
 *
 * @param types allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param deadlineS measured from the submission, or null
 * @param dependencies jobs that have to be done before any task of this one starts
 */
public record JobSpec(
    JobId id,
    String jobClass,
    String team,
    JobKind kind,
    Priority priority,
    int tasks,
    Resources need,
    double cpus,
    double gpus,
    double memoryGb,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean together,
    boolean scatter,
    boolean spotAllowed,
    double estimateS,
    double checkpointIntervalS,
    double checkpointSaveS,
    Double deadlineS,
    List<JobId> dependencies) {

  public static final int MAX_TASKS = 100_000;
  private static final int MAX_NAME = 128;
  private static final int MAX_TYPES = 16;

  /** Reads only the id of a submission, which may be known although the rest is malformed. */
  public static JobId readId(JsonNode body) throws WireException {
    if (!body.isObject()) {
      throw new WireException("not an object");
    }
    String id = Json.text(body, "ref");
    if (!JobId.isValid(id)) {
      throw new WireException("ref: not a job id");
    }
    return new JobId(id);
  }

  /** Reads a submission; every field that may not be null has to be there. */
  public static JobSpec read(JsonNode body) throws WireException {
    JobId id = readId(body);
    long tasks = Json.count(body, "verkbitar");
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new WireException("verkbitar: out of range");
    }
    double cpus = Json.amount(body, "cpus");
    double gpus = Json.amount(body, "accelerators");
    double memory = Json.amount(body, "memory_gb");
    if (cpus <= 0) {
      throw new WireException("cpus: out of range");
    }
    return new JobSpec(
        id,
        name(body, "runflokkur"),
        name(body, "eigandi"),
        JobKind.of(Json.text(body, "gerd")),
        Priority.of(Json.text(body, "forgang")),
        (int) tasks,
        Resources.need(cpus, gpus, memory),
        cpus,
        gpus,
        memory,
        name(body, "mynd"),
        Json.amount(body, "pull_gb"),
        types(body),
        nameOrNull(body, "svaedi"),
        Json.flag(body, "together"),
        Json.flag(body, "scatter"),
        Json.flag(body, "lanvelar"),
        Json.amount(body, "aaetlun_s"),
        Json.amount(body, "vista_bil_s"),
        Json.amount(body, "vistun_s"),
        Json.amountOrNull(body, "skiladagur_s"),
        dependencies(body));
  }

  /** The same job as its planner is to see it: it may be served like any job that depends on it. */
  public JobSpec withPriority(Priority other) {
    return with(other, tasks);
  }

  /** A job like this one with another number of tasks, to keep room for that many. */
  public JobSpec withTasks(int otherTasks) {
    return with(priority, otherTasks);
  }

  private JobSpec with(Priority otherPriority, int otherTasks) {
    return new JobSpec(
        id,
        jobClass,
        team,
        kind,
        otherPriority,
        otherTasks,
        need,
        cpus,
        gpus,
        memoryGb,
        image,
        imageGb,
        types,
        zone,
        together,
        scatter,
        spotAllowed,
        estimateS,
        checkpointIntervalS,
        checkpointSaveS,
        deadlineS,
        dependencies);
  }

  private static List<JobId> dependencies(JsonNode body) throws WireException {
    JsonNode node = body.get("bidur_eftir");
    if (node == null || node.isNull()) {
      return List.of();
    }
    Set<JobId> out = new LinkedHashSet<>();
    for (JsonNode item : Json.list(body, "bidur_eftir")) {
      if (!item.isTextual() || !JobId.isValid(item.textValue())) {
        throw new WireException("bidur_eftir: job ids are needed");
      }
      out.add(new JobId(item.textValue()));
    }
    return List.copyOf(out);
  }

  /**
   * The jobs that a description names as dependencies, without reading all of it; nothing is
   * checked, since it was when the job was accepted.
   */
  public static List<JobId> dependenciesOf(JsonNode body) {
    List<JobId> out = new ArrayList<>();
    body.path("bidur_eftir").forEach(id -> out.add(new JobId(id.asText())));
    return out;
  }

  /** Whether a description is of a service, without reading all of it. */
  public static boolean isService(JsonNode body) {
    return body.path("gerd").asText().equals(JobKind.SERVICE.word());
  }

  private static String name(JsonNode body, String field) throws WireException {
    String text = Json.text(body, field);
    if (text.isEmpty() || text.length() > MAX_NAME) {
      throw new WireException(field + ": too short or too long");
    }
    return text;
  }

  private static String nameOrNull(JsonNode body, String field) throws WireException {
    return Json.textOrNull(body, field) == null ? null : name(body, field);
  }

  private static List<String> types(JsonNode body) throws WireException {
    JsonNode node = body.get("velagerdir");
    if (node == null || node.isNull()) {
      return null;
    }
    List<String> types = new ArrayList<>();
    for (JsonNode item : Json.list(body, "velagerdir")) {
      if (!item.isTextual() || item.textValue().length() > MAX_NAME) {
        throw new WireException("velagerdir: names are needed");
      }
      types.add(item.textValue());
    }
    if (types.isEmpty() || types.size() > MAX_TYPES) {
      throw new WireException("velagerdir: too few or too many");
    }
    return List.copyOf(types);
  }

  /** Writes the submission as a user does. */
  public ObjectNode write() {
    ObjectNode out = Json.object();
    out.put("ref", id.value()).put("runflokkur", jobClass).put("eigandi", team);
    out.put("gerd", kind.word()).put("forgang", priority.word()).put("verkbitar", tasks);
    out.put("cpus", cpus).put("accelerators", gpus).put("memory_gb", memoryGb);
    out.put("mynd", image).put("pull_gb", imageGb);
    if (types != null) {
      ArrayNode names = out.putArray("velagerdir");
      types.forEach(names::add);
    }
    if (zone != null) {
      out.put("svaedi", zone);
    }
    out.put("together", together).put("scatter", scatter).put("lanvelar", spotAllowed);
    out.put("aaetlun_s", estimateS)
        .put("vista_bil_s", checkpointIntervalS)
        .put("vistun_s", checkpointSaveS);
    if (deadlineS != null) {
      out.put("skiladagur_s", deadlineS);
    }
    if (!dependencies.isEmpty()) {
      // Absent where there are none: a version before them drops what it does not know.
      ArrayNode ids = out.putArray("bidur_eftir");
      dependencies.forEach(d -> ids.add(d.value()));
    }
    return out;
  }

  public boolean isGang() {
    return kind == JobKind.GANG;
  }

  public boolean isService() {
    return kind == JobKind.SERVICE;
  }

  /** The most tasks that one zone may hold. */
  public int zoneLimit() {
    return scatter ? (tasks + 1) / 2 : tasks;
  }

  /** Whether the job may use machines of a type. */
  public boolean allowsType(String type) {
    return types == null || types.contains(type);
  }
}
