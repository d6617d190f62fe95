package org.ternhinge.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;

/**
 * A worker's heartbeat.
 *
 * @param reclaimNoticeS seconds until the cloud takes the machine, or null
 */
public record Heartbeat(
    MachineId machine,
    String endpoint,
    String type,
    String zone,
    boolean spot,
    AgentEpoch epoch,
    long sequence,
    Term fencingToken,
    Double reclaimNoticeS,
    List<TaskStatus> tasks) {

  /** Reads a heartbeat. */
  public static Heartbeat read(byte[] body) throws WireException {
    try (JsonStreamReader in = new JsonStreamReader(body)) {
      in.beginObject();
      Heartbeat heartbeat = read(in);
      in.end();
      return heartbeat;
    } catch (IOException e) {
      throw new WireException("not JSON");
    }
  }

  private static Heartbeat read(JsonStreamReader in) throws IOException, WireException {
    Fields fields = new Fields();
    for (String field = in.nextField(); field != null; field = in.nextField()) {
      fields.read(field, in);
    }
    fields.check();
    return fields.heartbeat();
  }

  /** The fields of a heartbeat as they are read, in any order. */
  private static final class Fields {
    private String machine;
    private String endpoint;
    private String type;
    private String zone;
    private Boolean spot;
    private long epoch = -1;
    private long sequence = -1;
    private long fencingToken = -1;
    private Double notice;
    private List<TaskStatus> tasks;

    void read(String field, JsonStreamReader in) throws IOException, WireException {
      switch (field) {
        case "vel" -> machine = in.text(field);
        case "endpoint" -> endpoint = in.text(field);
        case "velagerd" -> type = in.text(field);
        case "svaedi" -> zone = in.text(field);
        case "lanvelar" -> spot = in.flag(field);
        case "vakt" -> epoch = in.count(field);
        case "raodnumer" -> sequence = in.count(field);
        case "valdmerki" -> fencingToken = in.count(field);
        case "fyrirvari_s" -> notice = in.isNull() ? null : (Double) in.amount(field);
        case "verkbitar" -> tasks = tasks(in);
        default -> in.skip();
      }
    }

    void check() throws WireException {
      need(machine != null, "vel: a string is needed");
      need(endpoint != null, "endpoint: a string is needed");
      need(type != null, "velagerd: a string is needed");
      need(zone != null, "svaedi: a string is needed");
      need(spot != null, "lanvelar: true or false is needed");
      need(epoch >= 0, "vakt: an integer is needed");
      need(sequence >= 0, "raodnumer: an integer is needed");
      need(fencingToken >= 0, "valdmerki: an integer is needed");
      need(tasks != null, "verkbitar: a list is needed");
    }

    Heartbeat heartbeat() {
      return new Heartbeat(
          new MachineId(machine),
          endpoint,
          type,
          zone,
          spot,
          new AgentEpoch(epoch),
          sequence,
          new Term(fencingToken),
          notice,
          tasks);
    }
  }

  private static List<TaskStatus> tasks(JsonStreamReader in) throws IOException, WireException {
    in.beginList("verkbitar");
    List<TaskStatus> out = new ArrayList<>();
    while (in.nextObject()) {
      out.add(task(in));
    }
    return List.copyOf(out);
  }

  private static TaskStatus task(JsonStreamReader in) throws IOException, WireException {
    TaskId task = null;
    TaskState state = null;
    EndReason endReason = null;
    long attempt = -1;
    boolean saved = false;
    for (String field = in.nextField(); field != null; field = in.nextField()) {
      switch (field) {
        case "verkbiti" -> {
          task = TaskId.parse(in.text(field));
          need(task != null, "verkbiti: not a task");
        }
        case "tilraun" -> attempt = in.count(field);
        case "astand" -> state = TaskState.of(in.text(field));
        case "astaeda" -> endReason = in.isNull() ? null : EndReason.of(in.text(field));
        case "saved" -> saved = !in.isNull() && in.flag(field);
        default -> in.skip();
      }
    }
    need(task != null, "verkbiti: a string is needed");
    need(attempt >= 0, "tilraun: an integer is needed");
    need(state != null, "astand: a string is needed");
    need(state != TaskState.ENDED || endReason != null, "astaeda: needed for an ended task");
    return new TaskStatus(task, new AttemptNumber(attempt), state, endReason, saved);
  }

  private static void need(boolean holds, String otherwise) throws WireException {
    if (!holds) {
      throw new WireException(otherwise);
    }
  }

  /** Writes the heartbeat as a worker does. */
  public ObjectNode write() {
    ObjectNode out = Json.object();
    out.put("vel", machine.value()).put("endpoint", endpoint).put("velagerd", type);
    out.put("svaedi", zone).put("lanvelar", spot).put("vakt", epoch.value());
    out.put("raodnumer", sequence).put("valdmerki", fencingToken.value());
    if (reclaimNoticeS != null) {
      out.put("fyrirvari_s", reclaimNoticeS);
    }
    ArrayNode list = out.putArray("verkbitar");
    for (TaskStatus status : tasks) {
      ObjectNode item = list.addObject();
      item.put("verkbiti", status.task().toString()).put("tilraun", status.attempt().value());
      item.put("astand", status.state().word());
      if (status.endReason() != null) {
        item.put("astaeda", status.endReason().word());
      }
      if (status.saved()) {
        item.put("saved", true);
      }
    }
    return out;
  }
}
