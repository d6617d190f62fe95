package org.ternhinge.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.Revision;
import org.ternhinge.wire.Json;

/** Serialization of a transaction. */
class CompareAndSwapTest {

  private static String json(CompareAndSwap compareAndSwap) {
    return new String(compareAndSwap.write(), StandardCharsets.UTF_8);
  }

  @Test
  void conditionsAndChangesKeepTheirOrder() {
    CompareAndSwap transaction =
        new CompareAndSwap(
            List.of(new KeyCondition("z", new Revision(7)), KeyCondition.absent("a")),
            List.of(
                new Change.Put("z", Json.object().put("n", 1), 0),
                new Change.Put("leader", Json.object(), 9),
                new Change.Delete("a")));
    assertEquals(
        "{\"if\":[{\"path\":\"z\",\"utgafunumer\":7},{\"path\":\"a\",\"utgafunumer\":0}],"
            + "\"then\":[{\"set\":\"z\",\"v\":{\"n\":1}},"
            + "{\"set\":\"leader\",\"v\":{},\"leiga\":9},{\"remove\":\"a\"}]}",
        json(transaction));
  }

  @Test
  void emptyTransactionIsSerialized() {
    assertEquals("{\"if\":[],\"then\":[]}", json(new CompareAndSwap(List.of(), List.of())));
  }

  @Test
  void mapConditionsKeepMapOrder() {
    Map<String, Revision> expected = new LinkedHashMap<>();
    expected.put("z", new Revision(3));
    expected.put("a", Revision.NONE);
    assertEquals(
        List.of(new KeyCondition("z", new Revision(3)), KeyCondition.absent("a")),
        KeyCondition.allOf(expected));
  }
}
