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

/** Parses, validates and serializes the JSON representation of a {@link JobSpec}. */
final class JobSpecJson {
  /** Name of the field with the kind of the job. */
  static final String KIND = "gerd";

  /** Name of the field with the ids of the jobs that the job depends on. */
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

  /** Parses a submission and throws for the first invalid field in the order of the checks. */
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

  /** Serializes a submission; empty optional fields are omitted rather than null. */
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
      // Omitted if empty: versions without support for dependencies drop the unknown field.
      ArrayNode ids = out.putArray(DEPENDENCIES);
      spec.dependencies().forEach(dependency -> ids.add(dependency.value()));
    }
    return out;
  }
}
