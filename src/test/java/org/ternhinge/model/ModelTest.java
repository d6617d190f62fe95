package org.ternhinge.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.BitSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ModelTest {

  @ParameterizedTest
  @CsvSource({"'', ''", "0, 0", "'0,1,2', 0-2", "'0,2,3,9', '0,2-3,9'", "'5,6', 5-6"})
  void rangesSurviveTheRecord(String indexes, String text) {
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
  void brokenRangesAreRefused(String text) {
    assertThrows(IllegalArgumentException.class, () -> TaskRanges.decode(text));
  }

  @ParameterizedTest
  @ValueSource(strings = {"wk-1", "wk-1/", "/1", "wk-1/x", "wk-1/123456789", "job-1/2"})
  void otherNamesAreNoTasks(String text) {
    assertNull(TaskId.parse(text));
  }

  @Test
  void sumsOfManyTasksNeverOverfill() {
    Resources third = Resources.need(1.0 / 3, 0, 0.1);
    assertEquals(2, third.timesIn(Resources.offer(1, 0, 10)), "a third is rounded up");
    Resources tenth = Resources.need(0.1, 0, 0.1);
    assertEquals(10, tenth.timesIn(Resources.offer(1, 0, 1)), "tenths stay exact");
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "host", "host:", "host:x", ":80", "h:0", "h:70000"})
  void brokenEndpointsAreRefused(String text) {
    assertThrows(IllegalArgumentException.class, () -> Endpoint.parse(text));
  }
}
