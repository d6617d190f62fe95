package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Resources;

/** The JSON form of a {@link JobSpec}: reads and validates a submission, and writes it. */
final class JobSpecJson {
  /** Field of the kind of a job. */
  static final String KIND = "gerd";

  /** Field of the jobs that a job depends on. */
  static final String DEPENDENCIES = "bidur_eftir";

  private static final String TYPES = "velagerdir";
  private static final int MAX_NAME_LENGTH = 128;
  private static final int MAX_TYPES = 16;

  private JobSpecJson() {}

  static JobId readId(JsonNode body) throws WireException {
    if (!body.isObject()) {
      throw new WireException("not an object");
    }
    String id = Json.text(body, "ref");
    if (!JobId.isValid(id)) {
      throw new WireException("ref: not a job id");
    }
    return new JobId(id);
  }

  /** Reads a submission; the order of the checks decides which of several errors is reported. */
  static JobSpec read(JsonNode body) throws WireException {
    JobId id = readId(body);
    long tasks = Json.count(body, "verkbitar");
    if (tasks < 1 || tasks > JobSpec.MAX_TASKS) {
      throw new WireException("verkbitar: out of range");
    }
    double cpus = Json.amount(body, "cpus");
    double gpus = Json.amount(body, "accelerators");
    double memoryGb = Json.amount(body, "memory_gb");
    if (cpus <= 0) {
      throw new WireException("cpus: out of range");
    }
    return new JobSpec(
        id,
        name(body, "runflokkur"),
        name(body, "eigandi"),
        JobKind.fromWireName(Json.text(body, KIND)),
        Priority.fromWireName(Json.text(body, "forgang")),
        (int) tasks,
        Resources.ofRequest(cpus, gpus, memoryGb),
        cpus,
        gpus,
        memoryGb,
        name(body, "mynd"),
        Json.amount(body, "pull_gb"),
        types(body),
        optionalName(body, "svaedi"),
        Json.flag(body, "together"),
        Json.flag(body, "scatter"),
        Json.flag(body, "lanvelar"),
        Json.amount(body, "aaetlun_s"),
        Json.amount(body, "vista_bil_s"),
        Json.amount(body, "vistun_s"),
        Json.optionalAmount(body, "skiladagur_s"),
        dependencies(body));
  }

  private static String name(JsonNode body, String field) throws WireException {
    String text = Json.text(body, field);
    if (text.isEmpty() || text.length() > MAX_NAME_LENGTH) {
      throw new WireException(field + ": too short or too long");
    }
    return text;
  }

  private static Optional<String> optionalName(JsonNode body, String field) throws WireException {
    return Json.isAbsent(body, field) ? Optional.empty() : Optional.of(name(body, field));
  }

  private static List<String> types(JsonNode body) throws WireException {
    if (Json.isAbsent(body, TYPES)) {
      return List.of();
    }
    List<String> types = new ArrayList<>();
    for (JsonNode item : Json.list(body, TYPES)) {
      if (!item.isTextual() || item.textValue().length() > MAX_NAME_LENGTH) {
        throw new WireException(TYPES + ": names are needed");
      }
      types.add(item.textValue());
    }
    if (types.isEmpty() || types.size() > MAX_TYPES) {
      throw new WireException(TYPES + ": too few or too many");
    }
    return List.copyOf(types);
  }

  private static List<JobId> dependencies(JsonNode body) throws WireException {
    if (Json.isAbsent(body, DEPENDENCIES)) {
      return List.of();
    }
    Set<JobId> out = new LinkedHashSet<>();
    for (JsonNode item : Json.list(body, DEPENDENCIES)) {
      if (!item.isTextual() || !JobId.isValid(item.textValue())) {
        throw new WireException(DEPENDENCIES + ": job ids are needed");
      }
      out.add(new JobId(item.textValue()));
    }
    return List.copyOf(out);
  }

  /** Writes a submission; optional fields are omitted rather than null. */
  static ObjectNode write(JobSpec spec) {
    ObjectNode out = Json.object();
    out.put("ref", spec.id().value());
    out.put("runflokkur", spec.jobClass()).put("eigandi", spec.team());
    out.put(KIND, spec.kind().wireName()).put("forgang", spec.priority().wireName());
    out.put("verkbitar", spec.tasks());
    out.put("cpus", spec.cpus()).put("accelerators", spec.gpus());
    out.put("memory_gb", spec.memoryGb());
    out.put("mynd", spec.image()).put("pull_gb", spec.imageGb());
    if (!spec.types().isEmpty()) {
      ArrayNode names = out.putArray(TYPES);
      spec.types().forEach(names::add);
    }
    spec.zone().ifPresent(zone -> out.put("svaedi", zone));
    out.put("together", spec.singleZone()).put("scatter", spec.spreadAcrossZones());
    out.put("lanvelar", spec.spotAllowed());
    out.put("aaetlun_s", spec.estimateS());
    out.put("vista_bil_s", spec.checkpointIntervalS()).put("vistun_s", spec.checkpointSaveS());
    spec.deadlineS().ifPresent(deadlineS -> out.put("skiladagur_s", deadlineS));
    if (!spec.dependencies().isEmpty()) {
      // Omitted where there are none: a version before dependencies drops the unknown field.
      ArrayNode ids = out.putArray(DEPENDENCIES);
      spec.dependencies().forEach(dependency -> ids.add(dependency.value()));
    }
    return out;
  }
}
