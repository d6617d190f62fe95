package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Session;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;

/**
 * A worker's report.
 *
 * @param noticeS seconds until the cloud takes the machine, or null
 */
public record WorkerReport(
    MachineId machine,
    String endpoint,
    String type,
    String zone,
    boolean spot,
    Session session,
    long sequence,
    Term token,
    Double noticeS,
    List<TaskReport> tasks) {

  public static WorkerReport read(JsonNode body) throws WireException {
    if (!body.isObject()) {
      throw new WireException("not an object");
    }
    List<TaskReport> tasks = new ArrayList<>();
    for (JsonNode item : Json.list(body, "verkbitar")) {
      TaskId task = TaskId.parse(Json.text(item, "verkbiti"));
      if (task == null) {
        throw new WireException("verkbiti: not a task");
      }
      TaskState state = TaskState.of(Json.text(item, "astand"));
      String why = Json.textOrNull(item, "astaeda");
      if (state == TaskState.ENDED && why == null) {
        throw new WireException("astaeda: needed for an ended task");
      }
      JsonNode saved = item.get("saved");
      tasks.add(
          new TaskReport(
              task,
              new AttemptNumber(Json.count(item, "tilraun")),
              state,
              why == null ? null : EndReason.of(why),
              saved != null && saved.isBoolean() && saved.booleanValue()));
    }
    return new WorkerReport(
        new MachineId(Json.text(body, "vel")),
        Json.text(body, "endpoint"),
        Json.text(body, "velagerd"),
        Json.text(body, "svaedi"),
        Json.flag(body, "lanvelar"),
        new Session(Json.count(body, "vakt")),
        Json.count(body, "raodnumer"),
        new Term(Json.count(body, "valdmerki")),
        Json.amountOrNull(body, "fyrirvari_s"),
        List.copyOf(tasks));
  }

  public ObjectNode write() {
    ObjectNode out = Json.object();
    out.put("vel", machine.value()).put("endpoint", endpoint).put("velagerd", type);
    out.put("svaedi", zone).put("lanvelar", spot).put("vakt", session.value());
    out.put("raodnumer", sequence).put("valdmerki", token.value());
    if (noticeS != null) {
      out.put("fyrirvari_s", noticeS);
    }
    ArrayNode list = out.putArray("verkbitar");
    for (TaskReport report : tasks) {
      ObjectNode item = list.addObject();
      item.put("verkbiti", report.task().toString()).put("tilraun", report.attempt().value());
      item.put("astand", report.state().word());
      if (report.why() != null) {
        item.put("astaeda", report.why().word());
      }
      if (report.saved()) {
        item.put("saved", true);
      }
    }
    return out;
  }
}
