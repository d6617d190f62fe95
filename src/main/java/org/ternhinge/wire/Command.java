package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.Session;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;

/** An order to a worker about one attempt. */
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

  /** The answer to a report. */
  public static byte[] answer(Term term, List<Command> commands) {
    return Json.bytes(list(Json.object().put("valdmerki", term.value()), commands));
  }

  /** The body of a direct order. */
  public static byte[] order(Term term, Session session, List<Command> commands) {
    ObjectNode out = Json.object().put("valdmerki", term.value()).put("vakt", session.value());
    return Json.bytes(list(out, commands));
  }

  private static ObjectNode list(ObjectNode out, List<Command> commands) {
    ArrayNode items = out.putArray("skipanir");
    for (Command c : commands) {
      ObjectNode item = items.addObject().put("skipun", c.op.word);
      item.put("verkbiti", c.task.toString()).put("tilraun", c.attempt.value());
      if (c.op == Op.STOP) {
        item.put("frestur_s", c.graceS);
      }
    }
    return out;
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
