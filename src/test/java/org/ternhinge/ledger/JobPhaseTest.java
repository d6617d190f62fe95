package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.ternhinge.sim.SubmissionJson;

/** Lifecycle of a job: all pairs of phases, and the properties derived from the phase. */
class JobPhaseTest {
  private static final Map<String, Consumer<Job>> EVENTS =
      Map.of(
          "cancel", Job::cancel,
          "cancel durable", Job::markCancellationDurable,
          "dependency cancelled", Job::cancelByDependency,
          "over", Job::markFinished,
          "final durable", Job::markFinalRecordDurable);

  private static Job job() {
    return new Job(SubmissionJson.parse(SubmissionJson.smallJob("wk-1", "batch", 2)), 1, 8);
  }

  /** Creates a job and brings it into a phase by regular transitions. */
  private static Job inPhase(JobPhase phase) {
    Job job = job();
    if (phase.isCancelled()) {
      job.cancel();
    }
    if (phase.isCancellationDurable()) {
      job.markCancellationDurable();
    }
    if (phase.isFinished()) {
      job.markFinished();
    }
    if (phase.isEnded()) {
      job.markFinalRecordDurable();
    }
    return job;
  }

  /** One row for each phase; {@code x} is a permitted transition, in the order of the enum. */
  @ParameterizedTest(name = "from {0}: {1}")
  @CsvSource({
    "ACTIVE,              . x x . . x . .",
    "CANCELLING,          . . x x . . . .",
    "CANCELLED,           . . . . x . . .",
    "CANCELLING_FINISHED, . . . . x . x .",
    "CANCELLED_FINISHED,  . . . . . . x .",
    "COMPLETED,           . . . . . . . x",
    "ENDED_CANCELLED,     . . . . . . . .",
    "ENDED_COMPLETED,     . . . . . . . ."
  })
  void permitsExactlyListedTransitions(JobPhase from, String row) {
    List<String> marks = List.of(row.split(" ", -1));
    JobPhase[] all = JobPhase.values();
    assertEquals(all.length, marks.size());
    for (int i = 0; i < all.length; i++) {
      assertEquals(marks.get(i).equals("x"), from.permits(all[i]), from + " to " + all[i]);
    }
  }

  @ParameterizedTest(
      name = "{0}: cancelled {1}, durably {2}, finished {3}, final record durable {4}")
  @CsvSource({
    "ACTIVE,              false, false, false, false",
    "CANCELLING,          true,  false, false, false",
    "CANCELLED,           true,  true,  false, false",
    "CANCELLING_FINISHED, true,  false, true,  false",
    "CANCELLED_FINISHED,  true,  true,  true,  false",
    "COMPLETED,           false, false, true,  false",
    "ENDED_CANCELLED,     true,  true,  true,  true",
    "ENDED_COMPLETED,     false, false, true,  true"
  })
  void propertiesFollowFromPhase(
      JobPhase phase, boolean cancelled, boolean durable, boolean over, boolean finalDurable) {
    Job job = inPhase(phase);
    assertEquals(cancelled, job.isCancelled());
    assertEquals(durable, job.isCancellationDurable());
    assertEquals(over, job.isFinished());
    assertEquals(finalDurable, job.isFinalRecordDurable());
    assertFalse(job.isCancelledByDependency());
  }

  /** The phase stays the same if an event has no effect; a dash is an illegal transition. */
  @ParameterizedTest(name = "{0}: {1} leads to {2}")
  @CsvSource({
    "ACTIVE,              cancel,               CANCELLING",
    "ACTIVE,              cancel durable,       CANCELLED",
    "ACTIVE,              dependency cancelled, CANCELLED",
    "ACTIVE,              over,                 COMPLETED",
    "ACTIVE,              final durable,        -",
    "CANCELLING,          cancel,               -",
    "CANCELLING,          cancel durable,       CANCELLED",
    "CANCELLING,          dependency cancelled, CANCELLED",
    "CANCELLING,          over,                 CANCELLING_FINISHED",
    "CANCELLING,          final durable,        -",
    "CANCELLED,           cancel,               -",
    "CANCELLED,           cancel durable,       CANCELLED",
    "CANCELLED,           over,                 CANCELLED_FINISHED",
    "CANCELLED,           final durable,        -",
    "CANCELLING_FINISHED, cancel,               -",
    "CANCELLING_FINISHED, cancel durable,       CANCELLED_FINISHED",
    "CANCELLING_FINISHED, dependency cancelled, CANCELLED_FINISHED",
    "CANCELLING_FINISHED, over,                 CANCELLING_FINISHED",
    "CANCELLING_FINISHED, final durable,        ENDED_CANCELLED",
    "CANCELLED_FINISHED,  cancel,               -",
    "CANCELLED_FINISHED,  cancel durable,       CANCELLED_FINISHED",
    "CANCELLED_FINISHED,  over,                 CANCELLED_FINISHED",
    "CANCELLED_FINISHED,  final durable,        ENDED_CANCELLED",
    "COMPLETED,           cancel,               -",
    "COMPLETED,           cancel durable,       -",
    "COMPLETED,           dependency cancelled, -",
    "COMPLETED,           over,                 COMPLETED",
    "COMPLETED,           final durable,        ENDED_COMPLETED",
    "ENDED_CANCELLED,     cancel,               -",
    "ENDED_CANCELLED,     cancel durable,       ENDED_CANCELLED",
    "ENDED_CANCELLED,     over,                 ENDED_CANCELLED",
    "ENDED_CANCELLED,     final durable,        -",
    "ENDED_COMPLETED,     cancel,               -",
    "ENDED_COMPLETED,     cancel durable,       -",
    "ENDED_COMPLETED,     dependency cancelled, -",
    "ENDED_COMPLETED,     over,                 ENDED_COMPLETED",
    "ENDED_COMPLETED,     final durable,        -"
  })
  void eventLeadsToExpectedPhaseOrIsRejected(JobPhase from, String event, String expected) {
    Job job = inPhase(from);
    Consumer<Job> action = EVENTS.get(event);
    if (!expected.equals("-")) {
      action.accept(job);
      assertProperties(JobPhase.valueOf(expected), job);
      return;
    }
    IllegalTransitionException exception =
        assertThrows(IllegalTransitionException.class, () -> action.accept(job));
    assertEquals(from, exception.from());
    String pair = from + " to " + exception.to();
    assertTrue(exception.getMessage().contains(pair), exception.getMessage());
    assertProperties(from, job);
  }

  private static void assertProperties(JobPhase phase, Job job) {
    assertEquals(phase.isCancelled(), job.isCancelled());
    assertEquals(phase.isCancellationDurable(), job.isCancellationDurable());
    assertEquals(phase.isFinished(), job.isFinished());
    assertEquals(phase.isEnded(), job.isFinalRecordDurable());
  }

  @ParameterizedTest(name = "{0}")
  @EnumSource(names = {"ACTIVE", "CANCELLING", "CANCELLING_FINISHED"})
  void cancellationByDependencyIsRecorded(JobPhase from) {
    Job job = inPhase(from);
    job.cancelByDependency();
    assertTrue(job.isCancelledByDependency());
    assertTrue(job.isCancellationDurable());
  }

  @Test
  void illegalTransitionMessageNamesJob() {
    Job job = inPhase(JobPhase.COMPLETED);
    String message = assertThrows(IllegalTransitionException.class, job::cancel).getMessage();
    assertEquals("job wk-1: no transition from COMPLETED to CANCELLING", message);
  }
}
