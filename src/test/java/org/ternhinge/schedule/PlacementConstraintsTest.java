package org.ternhinge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.wire.JobSpec;

/** Equality of constraints, which decides whether jobs share the result of a search. */
class PlacementConstraintsTest {
  private static JobSpec job(String id, String kind, Map<String, Object> changes) {
    return PlannerFixture.spec(id, kind, 2, changes);
  }

  @Test
  void constraintsIgnoreRequestSize() {
    PlacementConstraints small = PlacementConstraints.of(job("wk-1", "batch", Map.of()));
    PlacementConstraints large = PlacementConstraints.of(job("wk-2", "batch", Map.of("cpus", 4.0)));
    assertEquals(small, large);
    assertEquals(small.hashCode(), large.hashCode());
  }

  @ParameterizedTest
  @CsvSource({
    "forgang, production",
    "lanvelar, false",
    "scatter, true",
    "together, true",
  })
  void constraintsDifferInEachField(String field, String value) {
    boolean flag = value.equals("true") || value.equals("false");
    Object changed = flag ? (Object) Boolean.valueOf(value) : value;
    assertNotEquals(
        PlacementConstraints.of(job("wk-1", "daemon", Map.of())),
        PlacementConstraints.of(job("wk-2", "daemon", Map.of(field, changed))));
  }

  @Test
  void singleMachineConstraintsIgnoreScatter() {
    JobSpec plain = job("wk-1", "daemon", Map.of());
    JobSpec scattered = job("wk-2", "daemon", Map.of("scatter", true));
    assertNotEquals(PlacementConstraints.of(plain), PlacementConstraints.of(scattered));
    assertEquals(
        PlacementConstraints.ofSingleMachine(plain),
        PlacementConstraints.ofSingleMachine(scattered));
  }
}
