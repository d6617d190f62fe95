package org.ternhinge.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;

/**
 * Streaming parser of heartbeats. It builds no JSON tree, since hundreds of heartbeats arrive every
 * second.
 */
final class HeartbeatReader {
  private HeartbeatReader() {}

  /** Reads a complete heartbeat and checks that nothing follows it. */
  static Heartbeat read(byte[] body) throws WireException {
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

  /** Collects the fields of a heartbeat, which may come in any order. */
  private static final class Fields {
    private String machine;
    private String endpoint;
    private String type;
    private String zone;
    private Boolean spot;
    private long epoch = -1;
    private long sequence = -1;
    private long fencingToken = -1;
    private OptionalDouble reclaimNoticeS = OptionalDouble.empty();
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
        case "fyrirvari_s" -> reclaimNoticeS = optionalAmount(in, field);
        case "verkbitar" -> tasks = tasks(in);
        default -> in.skip();
      }
    }

    /** Checks that all required fields were present. */
    void check() throws WireException {
      require(machine != null, "vel: a string is needed");
      require(endpoint != null, "endpoint: a string is needed");
      require(type != null, "velagerd: a string is needed");
      require(zone != null, "svaedi: a string is needed");
      require(spot != null, "lanvelar: true or false is needed");
      require(epoch >= 0, "vakt: an integer is needed");
      require(sequence >= 0, "raodnumer: an integer is needed");
      require(fencingToken >= 0, "valdmerki: an integer is needed");
      require(tasks != null, "verkbitar: a list is needed");
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
          reclaimNoticeS,
          tasks);
    }
  }

  private static OptionalDouble optionalAmount(JsonStreamReader in, String field)
      throws IOException, WireException {
    return in.isNull() ? OptionalDouble.empty() : OptionalDouble.of(in.amount(field));
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
        case "verkbiti" -> task = TaskIds.parse(in.text(field), field);
        case "tilraun" -> attempt = in.count(field);
        case "astand" -> state = TaskState.fromWireName(in.text(field));
        case "astaeda" -> endReason = in.isNull() ? null : EndReason.fromWireName(in.text(field));
        case "saved" -> saved = !in.isNull() && in.flag(field);
        default -> in.skip();
      }
    }
    require(task != null, "verkbiti: a string is needed");
    require(attempt >= 0, "tilraun: an integer is needed");
    require(state != null, "astand: a string is needed");
    require(state != TaskState.ENDED || endReason != null, "astaeda: needed for an ended task");
    return new TaskStatus(task, new AttemptNumber(attempt), state, endReason, saved);
  }

  private static void require(boolean condition, String error) throws WireException {
    if (!condition) {
      throw new WireException(error);
    }
  }
}
