package org.ternhinge.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SubmissionJson;

/** Parsing and validation of submissions. */
class JobSpecTest {

  private static JsonNode parse(String text) throws WireException {
    return Json.parse(text.getBytes(StandardCharsets.UTF_8));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "ref | \"job 1\"",
        "ref | \"wk-\"",
        "ref | 12",
        "gerd | \"swarm\"",
        "forgang | \"urgent\"",
        "verkbitar | 0",
        "verkbitar | 100001",
        "verkbitar | 2.5",
        "verkbitar | -1",
        "cpus | 0",
        "cpus | -1",
        "cpus | \"4\"",
        "cpus | 1e300",
        "memory_gb | null",
        "together | \"yes\"",
        "velagerdir | []",
        "velagerdir | [1]",
        "svaedi | 7",
        "skiladagur_s | -5",
        "mynd | \"\"",
        "bidur_eftir | \"wk-2\"",
        "bidur_eftir | {}",
        "bidur_eftir | 7",
        "bidur_eftir | false",
        "bidur_eftir | [null]",
        "bidur_eftir | [17]",
        "bidur_eftir | [[\"wk-2\"]]",
        "bidur_eftir | [\"wk-2\",\"no id\"]"
      })
  void invalidFieldIsNamedInTheError(String field, String value) throws WireException {
    ObjectNode body = SubmissionJson.smallJob("wk-1", "batch", 3);
    body.set(field, parse(value));
    WireException error = assertThrows(WireException.class, () -> JobSpec.read(body));
    assertTrue(error.getMessage().startsWith(field + ":"), error.getMessage());
  }

  @ParameterizedTest
  @ValueSource(strings = {"verkbitar", "cpus", "mynd", "together", "aaetlun_s", "eigandi"})
  void missingFieldIsRejected(String field) {
    ObjectNode body = SubmissionJson.smallJob("wk-1", "batch", 3);
    body.remove(field);
    assertThrows(WireException.class, () -> JobSpec.read(body));
  }

  /** A null, omitted or empty list means no dependencies; duplicates are dropped. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "| ''",
        "null | ''",
        "[] | ''",
        "[\"wk-2\"] | wk-2",
        "[\"wk-3\",\"wk-2\",\"wk-3\",\"wk-3\"] | wk-3 wk-2"
      })
  void dependenciesKeepTheirOrderWithoutDuplicates(String list, String expected)
      throws WireException {
    ObjectNode body = SubmissionJson.smallJob("wk-1", "batch", 3);
    if (list != null) {
      body.set("bidur_eftir", parse(list));
    }
    JobSpec spec = JobSpec.read(body);
    String names = spec.dependencies().stream().map(JobId::value).collect(Collectors.joining(" "));
    assertEquals(expected, names);
    assertEquals(
        spec, JobSpec.read(spec.write()), "the serialized submission is parsed to an equal one");
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "{", "nul", "{}x", "NaN", "[1,"})
  void malformedJsonIsRejected(String text) {
    assertThrows(WireException.class, () -> parse(text));
  }

  @Test
  void omittedNullableFieldsAndUnknownFieldsAreAccepted() throws WireException {
    ObjectNode body = SubmissionJson.smallJob("wk-1", "daemon", 5);
    body.remove(List.of("velagerdir", "svaedi", "skiladagur_s"));
    body.put("extra", 1).put("scatter", true);
    JobSpec spec = JobSpec.read(body);
    assertEquals(3, spec.maxTasksPerZone());
    assertEquals(
        spec, JobSpec.read(spec.write()), "the serialized submission is parsed to an equal one");
  }

  @ParameterizedTest(name = "types {0}, zone {1}")
  @CsvSource(
      delimiter = '|',
      value = {
        "null | null | true | true",
        "[\"g8\",\"c4\"] | \"a\" | true | true",
        "[\"c4\"] | \"b\" | false | false",
      })
  void nullConstraintAllowsAnything(
      String types, String zone, boolean allowsType, boolean allowsZone) throws WireException {
    ObjectNode body = SubmissionJson.smallJob("wk-1", "batch", 3);
    body.set("velagerdir", parse(types));
    body.set("svaedi", parse(zone));
    JobSpec spec = JobSpec.read(body);
    assertEquals(allowsType, spec.allowsType("g8"));
    assertEquals(allowsZone, spec.allowsZone("a"));
    assertEquals(
        spec, JobSpec.read(spec.write()), "the serialized submission is parsed to an equal one");
  }

  @Test
  void deeplyNestedJsonIsRejected() {
    String deep = "[".repeat(5000) + "]".repeat(5000);
    assertThrows(WireException.class, () -> parse(deep));
  }
}
