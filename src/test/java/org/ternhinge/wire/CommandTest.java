package org.ternhinge.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command.Op;

/** Serialization and parsing of commands. */
class CommandTest {
  private static final TaskId TASK = TaskId.parse("wk-000412/3");
  private static final AttemptNumber ATTEMPT = new AttemptNumber(2);

  @Test
  void writtenCommandsAreReadBack() throws WireException {
    List<Command> commands =
        List.of(
            new Command(Op.START, TASK, ATTEMPT, 0),
            new Command(Op.STOP, TASK, ATTEMPT, 4.5),
            new Command(Op.FORGET, TASK, ATTEMPT, 0));
    assertEquals(
        commands, Command.read(Json.parse(Command.heartbeatResponse(new Term(41), commands))));
  }

  @Test
  void unknownOperationIsSkipped() throws WireException {
    String body = "{'skipanir':[{'skipun':'pause','verkbiti':'wk-1/0','tilraun':1}]}";
    assertEquals(List.of(), read(body));
  }

  @Test
  void invalidTaskIdIsReportedWithItsField() {
    String body = "{'skipanir':[{'skipun':'start','verkbiti':'wk-1','tilraun':1}]}";
    WireException error = assertThrows(WireException.class, () -> read(body));
    assertEquals("verkbiti: not a task", error.getMessage());
  }

  private static List<Command> read(String body) throws WireException {
    return Command.read(Json.parse(body.replace('\'', '"').getBytes(StandardCharsets.UTF_8)));
  }
}
