package org.ternhinge.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobSpec;

/** Controllers parse built submissions with the fields that were set. */
class SubmissionBuilderTest {
  @Test
  void everyFieldIsReadBack() {
    JobSpec spec =
        SubmissionBuilder.job("wk-2", "group", 3)
            .team("blue")
            .jobClass("chart")
            .cpus(2)
            .accelerators(1)
            .memoryGb(4)
            .image("img-7")
            .machineTypes("small", "fast")
            .zone("west")
            .together(true)
            .runsFor(40)
            .checkpoints(30, 5)
            .deadlineS(900)
            .dependsOn(List.of(new JobId("wk-1")))
            .spec();
    assertEquals(new JobId("wk-2"), spec.id());
    assertEquals("blue", spec.team());
    assertEquals("chart", spec.jobClass());
    assertEquals(List.of(2.0, 1.0, 4.0), List.of(spec.cpus(), spec.gpus(), spec.memoryGb()));
    assertEquals("img-7", spec.image());
    assertEquals(List.of("small", "fast"), spec.types());
    assertEquals(Optional.of("west"), spec.zone());
    assertTrue(spec.singleZone() && spec.isGang());
    assertEquals(40, spec.estimateS());
    assertEquals(30, spec.checkpointIntervalS());
    assertEquals(5, spec.checkpointSaveS());
    assertEquals(OptionalDouble.of(900), spec.deadlineS());
    assertEquals(List.of(new JobId("wk-1")), spec.dependencies());
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({"batch, true", "group, true", "daemon, false"})
  void productionServiceDisallowsSpotMachines(String kind, boolean spotAllowed) {
    SubmissionBuilder job = SubmissionBuilder.job("wk-1", kind, 1).productionIfService();
    assertEquals(spotAllowed, job.spec().spotAllowed());
  }

  @Test
  void emptyDependenciesOmitTheField() {
    assertFalse(
        SubmissionBuilder.job("wk-1", "batch", 1).dependsOn(List.of()).json().has("bidur_eftir"));
  }
}
