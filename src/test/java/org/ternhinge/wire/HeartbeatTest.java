package org.ternhinge.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;

/** Parsing, validation and serialization of heartbeats, and serialization of their responses. */
class HeartbeatTest {
  private static final Heartbeat FULL =
      new Heartbeat(
          new MachineId("n-000231"),
          "10.1.0.232:9000",
          "g8",
          "a",
          true,
          new AgentEpoch(2),
          88,
          new Term(41),
          OptionalDouble.of(7.5),
          List.of(
              task(3, TaskState.RUNNING, null, false),
              task(4, TaskState.ENDED, EndReason.NO_ROOM, false),
              task(5, TaskState.ENDED, EndReason.STOPPED, true)));

  private static TaskStatus task(
      int index, TaskState state, EndReason expectedError, boolean saved) {
    TaskId id = TaskId.parse("wk-000412/" + index);
    return new TaskStatus(id, new AttemptNumber(2), state, expectedError, saved);
  }

  private static ObjectNode change(ObjectNode in, String field, String value) throws WireException {
    if (value.equals("gone")) {
      in.remove(field);
    } else {
      in.set(field, Json.parse(value.getBytes(StandardCharsets.UTF_8)));
    }
    return in;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      nullValues = "none",
      value = {
        "none | {'valdmerki':41,'skipanir':[]}",
        "START | {'valdmerki':41,'skipanir':["
            + "{'skipun':'start','verkbiti':'wk-000412/3','tilraun':2}]}",
        "STOP | {'valdmerki':41,'skipanir':["
            + "{'skipun':'halt','verkbiti':'wk-000412/3','tilraun':2,'frestur_s':4.5}]}",
        "FORGET | {'valdmerki':41,'skipanir':["
            + "{'skipun':'clear','verkbiti':'wk-000412/3','tilraun':2}]}"
      },
      quoteCharacter = '"')
  void messagesContainTermAndCommands(Command.Op op, String expected) throws WireException {
    TaskId task = TaskId.parse("wk-000412/3");
    List<Command> commands =
        op == null ? List.of() : List.of(new Command(op, task, new AttemptNumber(2), 4.5));
    String json = expected.replace('\'', '"');
    assertEquals(
        Json.parse(bytes(json)), Json.parse(Command.heartbeatResponse(new Term(41), commands)));
    String direct = json.replace("41,", "41,\"vakt\":7,");
    assertEquals(
        Json.parse(bytes(direct)),
        Json.parse(Command.directCommandsBody(new Term(41), new AgentEpoch(7), commands)));
  }

  @Test
  void writtenHeartbeatIsReadBack() throws WireException {
    assertEquals(FULL, Heartbeat.read(Json.bytes(FULL.write())));
  }

  @Test
  void unknownFieldsOfAnyTypeAreSkipped() throws WireException {
    ObjectNode json = FULL.write();
    change(json, "new", "{\"verkbitar\":[{\"vel\":1}],\"vakt\":[[]]}");
    change((ObjectNode) json.get("verkbitar").get(0), "new", "[1,{\"astand\":\"x\"}]");
    change((ObjectNode) json.get("verkbitar").get(0), "astaeda", "null");
    assertEquals(FULL, Heartbeat.read(Json.bytes(json)));
    change(json, "fyrirvari_s", "null");
    assertEquals(OptionalDouble.empty(), Heartbeat.read(Json.bytes(json)).reclaimNoticeS());
  }

  @ParameterizedTest(name = "{0} = {1}")
  @CsvSource(
      delimiter = '|',
      value = {
        "vel | gone | vel: a string is needed",
        "vel | null | vel: a string is needed",
        "endpoint | 9000 | endpoint: a string is needed",
        "velagerd | gone | velagerd: a string is needed",
        "svaedi | {} | svaedi: a string is needed",
        "lanvelar | \"yes\" | lanvelar: true or false is needed",
        "lanvelar | gone | lanvelar: true or false is needed",
        "vakt | 1.5 | vakt: an integer is needed",
        "vakt | -1 | vakt: out of range",
        "raodnumer | gone | raodnumer: an integer is needed",
        "raodnumer | 99999999999999999999 | raodnumer: an integer is needed",
        "valdmerki | \"41\" | valdmerki: an integer is needed",
        "fyrirvari_s | -1 | fyrirvari_s: out of range",
        "fyrirvari_s | [] | fyrirvari_s: a number is needed",
        "verkbitar | gone | verkbitar: a list is needed",
        "verkbitar | null | verkbitar: a list is needed",
        "verkbitar | [3] | not an object"
      })
  void invalidFieldIsNamedInTheError(String field, String value, String expectedError)
      throws WireException {
    byte[] body = Json.bytes(change(FULL.write(), field, value));
    assertEquals(
        expectedError, assertThrows(WireException.class, () -> Heartbeat.read(body)).getMessage());
  }

  @ParameterizedTest(name = "{0} = {1}")
  @CsvSource(
      delimiter = '|',
      value = {
        "verkbiti | \"wk-1\" | verkbiti: not a task",
        "verkbiti | gone | verkbiti: a string is needed",
        "tilraun | null | tilraun: an integer is needed",
        "astand | \"asleep\" | astand: unknown state",
        "astand | gone | astand: a string is needed",
        "astaeda | \"bored\" | astaeda: unknown reason",
        "astaeda | null | astaeda: needed for an ended task"
      })
  void invalidTaskFieldIsNamedInTheError(String field, String value, String expectedError)
      throws WireException {
    ObjectNode heartbeat = FULL.write();
    change((ObjectNode) heartbeat.get("verkbitar").get(1), field, value);
    byte[] body = Json.bytes(heartbeat);
    assertEquals(
        expectedError, assertThrows(WireException.class, () -> Heartbeat.read(body)).getMessage());
  }

  @ParameterizedTest
  @ValueSource(strings = {"", " ", "[]", "3", "null", "{", "{\"vel\"", "{\"vel\":\"n\",}", "{]"})
  void malformedHeartbeatIsRejected(String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    assertThrows(WireException.class, () -> Heartbeat.read(body));
  }

  @Test
  void trailingContentIsRejected() {
    byte[] body = (FULL.write() + " {}").getBytes(StandardCharsets.UTF_8);
    assertThrows(WireException.class, () -> Heartbeat.read(body));
  }
}
