package org.ternhinge.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.TaskState;
import org.ternhinge.wire.TaskStatus;

/** Parsing, validation, rounding and equality of the value types. */
class ValueTypesTest {

  @ParameterizedTest
  @CsvSource({"'', ''", "0, 0", "'0,1,2', 0-2", "'0,2,3,9', '0,2-3,9'", "'5,6', 5-6"})
  void encodedRangesAreDecodedAgain(String indexes, String text) {
    BitSet set = new BitSet();
    for (String i : indexes.isEmpty() ? new String[0] : indexes.split(",")) {
      set.set(Integer.parseInt(i));
    }
    assertEquals(text, TaskRanges.encode(set, 0, 100));
    BitSet back = new BitSet();
    TaskRanges.decode(text).forEach(back::set);
    assertEquals(set, back);
  }

  @ParameterizedTest
  @ValueSource(strings = {"3-1", "-4", "a", "0-99999999"})
  void malformedRangesAreRejected(String text) {
    assertThrows(IllegalArgumentException.class, () -> TaskRanges.decode(text));
  }

  @ParameterizedTest
  @ValueSource(strings = {"wk-1", "wk-1/", "/1", "wk-1/x", "wk-1/123456789", "job-1/2"})
  void malformedTaskIdsAreRejected(String text) {
    assertThrows(IllegalArgumentException.class, () -> TaskId.parse(text));
  }

  @Test
  void roundingNeverOvercommitsAMachine() {
    Resources third = Resources.ofRequest(1.0 / 3, 0, 0.1);
    assertEquals(
        2, third.countFittingIn(Resources.ofCapacity(1, 0, 10)), "one third is rounded up");
    Resources tenth = Resources.ofRequest(0.1, 0, 0.1);
    assertEquals(10, tenth.countFittingIn(Resources.ofCapacity(1, 0, 1)), "tenths are exact");
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "host", "host:", "host:x", ":80", "h:0", "h:70000"})
  void malformedEndpointsAreRejected(String text) {
    assertThrows(IllegalArgumentException.class, () -> Endpoint.parse(text));
  }

  /** The explicit methods must be equivalent to the generated ones of a record. */
  @Test
  void valuesAreEqualIfAllTheirComponentsAre() {
    List<List<Object>> copies = new ArrayList<>();
    for (int copy = 0; copy < 2; copy++) {
      List<Object> all = new ArrayList<>();
      for (long n = 1; n < 4; n++) {
        all.add(new Term(n));
        all.add(new AgentEpoch(n));
        all.add(new AttemptNumber(n));
        all.add(new Revision(n));
        all.add(new JobId("wk-" + n));
        all.add(new MachineId("wk-" + n));
        all.add(new Resources(n, 2, 3));
        all.add(new Resources(9, n, 3));
        all.add(new Resources(9, 2, n + 9));
        for (int index = 0; index < 2; index++) {
          TaskId task = new TaskId(new JobId("wk-" + n), index);
          all.add(task);
          all.addAll(statuses(task, false));
          all.addAll(statuses(task, true));
        }
      }
      copies.add(all);
    }
    for (int i = 0; i < copies.get(0).size(); i++) {
      for (int k = 0; k < copies.get(1).size(); k++) {
        Object one = copies.get(0).get(i);
        Object other = copies.get(1).get(k);
        assertEquals(i == k, one.equals(other), one + " and " + other);
        if (i == k) {
          assertEquals(one.hashCode(), other.hashCode(), one.toString());
        }
      }
    }
  }

  private static List<TaskStatus> statuses(TaskId task, boolean saved) {
    return List.of(
        new TaskStatus(task, new AttemptNumber(5), TaskState.RUNNING, null, saved),
        new TaskStatus(task, new AttemptNumber(6), TaskState.RUNNING, null, saved),
        new TaskStatus(task, new AttemptNumber(5), TaskState.ENDED, EndReason.DONE, saved),
        new TaskStatus(task, new AttemptNumber(5), TaskState.ENDED, EndReason.ERROR, saved));
  }
}
