package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;

/** A command to a worker about one attempt. */
public record Command(Op op, TaskId task, AttemptNumber attempt, double graceS) {

  /** What a worker can be told to do. */
  public enum Op {
    START("start"),
    STOP("halt"),
    FORGET("clear");

    private final String word;

    Op(String word) {
      this.word = word;
    }
  }

  /** The answer to a heartbeat. */
  public static byte[] answer(Term term, List<Command> commands) {
    JsonStreamWriter out = new JsonStreamWriter();
    out.beginObject();
    out.field("valdmerki", term.value());
    writeList(out, commands);
    out.endObject();
    return out.bytes();
  }

  /** The body of a message with direct commands. */
  public static byte[] body(Term term, AgentEpoch epoch, List<Command> commands) {
    JsonStreamWriter out = new JsonStreamWriter();
    out.beginObject();
    out.field("valdmerki", term.value());
    out.field("vakt", epoch.value());
    writeList(out, commands);
    out.endObject();
    return out.bytes();
  }

  private static void writeList(JsonStreamWriter out, List<Command> commands) {
    out.beginList("skipanir");
    for (Command command : commands) {
      out.beginObject();
      out.field("skipun", command.op.word);
      out.field("verkbiti", command.task.toString());
      out.field("tilraun", command.attempt.value());
      if (command.op == Op.STOP) {
        out.field("frestur_s", command.graceS);
      }
      out.endObject();
    }
    out.endList();
  }

  /** Reads the commands of an answer or order; the worker's side of the wire. */
  public static List<Command> read(JsonNode body) throws WireException {
    List<Command> out = new ArrayList<>();
    for (JsonNode item : Json.list(body, "skipanir")) {
      String word = Json.text(item, "skipun");
      for (Op op : Op.values()) {
        if (op.word.equals(word)) {
          Double grace = Json.amountOrNull(item, "frestur_s");
          TaskId task = TaskId.parse(Json.text(item, "verkbiti"));
          AttemptNumber attempt = new AttemptNumber(Json.count(item, "tilraun"));
          out.add(new Command(op, task, attempt, grace == null ? 0 : grace));
        }
      }
    }
    return out;
  }
}
