package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;

/**
 * A command to a worker about one attempt. Commands are idempotent, except that a {@link Op#START}
 * after a {@link Op#FORGET} starts the attempt again.
 *
 * @param op what to do
 * @param task the task
 * @param attempt the attempt of the task
 * @param graceS for {@link Op#STOP}, grace period in seconds for saving a checkpoint; 0 ends the
 *     task immediately
 */
public record Command(Op op, TaskId task, AttemptNumber attempt, double graceS) {

  /** Operations that a worker performs on an attempt. */
  public enum Op {
    /** Starts an attempt; no effect if the worker already has it, in any state. */
    START("start"),
    /** Stops an attempt after it has saved a checkpoint within the grace period. */
    STOP("halt"),
    /** Drops an ended attempt, so that heartbeats no longer report it. */
    FORGET("clear");

    private final String wireName;

    Op(String wireName) {
      this.wireName = wireName;
    }
  }

  /**
   * Serializes the response to a heartbeat.
   *
   * @param term the leader's term, used as fencing token
   * @param commands in order of execution
   */
  public static byte[] heartbeatResponse(Term term, List<Command> commands) {
    JsonStreamWriter out = new JsonStreamWriter();
    out.beginObject();
    out.field("valdmerki", term.value());
    writeCommands(out, commands);
    out.endObject();
    return out.bytes();
  }

  /**
   * Serializes a message with commands that is sent directly rather than as a response.
   *
   * @param term the leader's term, used as fencing token
   * @param epoch incarnation of the worker that the commands are addressed to
   * @param commands in order of execution
   */
  public static byte[] directCommandsBody(Term term, AgentEpoch epoch, List<Command> commands) {
    JsonStreamWriter out = new JsonStreamWriter();
    out.beginObject();
    out.field("valdmerki", term.value());
    out.field("vakt", epoch.value());
    writeCommands(out, commands);
    out.endObject();
    return out.bytes();
  }

  private static void writeCommands(JsonStreamWriter out, List<Command> commands) {
    out.beginList("skipanir");
    for (Command command : commands) {
      out.beginObject();
      out.field("skipun", command.op.wireName);
      out.field("verkbiti", command.task.toString());
      out.field("tilraun", command.attempt.value());
      if (command.op == Op.STOP) {
        out.field("frestur_s", command.graceS);
      }
      out.endObject();
    }
    out.endList();
  }

  /** Reads the commands of a heartbeat response or a direct message; skips unknown operations. */
  public static List<Command> read(JsonNode body) throws WireException {
    List<Command> out = new ArrayList<>();
    for (JsonNode item : Json.list(body, "skipanir")) {
      String operation = Json.text(item, "skipun");
      for (Op op : Op.values()) {
        if (op.wireName.equals(operation)) {
          out.add(read(item, op));
        }
      }
    }
    return out;
  }

  private static Command read(JsonNode item, Op op) throws WireException {
    double graceS = Json.optionalAmount(item, "frestur_s").orElse(0);
    TaskId task = TaskIds.parse(Json.text(item, "verkbiti"), "verkbiti");
    return new Command(op, task, new AttemptNumber(Json.count(item, "tilraun")), graceS);
  }
}
