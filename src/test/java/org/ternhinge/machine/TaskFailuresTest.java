package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.ledger.Job;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.sim.SubmissionJson;

/** Attribution of failures to machines or jobs, with quarantine and back-off as results. */
class TaskFailuresTest {
  /** At this change rate a retry slot lasts 0.02 s. */
  private static final double CHANGES_PER_S = 1000;

  private static final double SLOT_S = 0.02;

  private final LeadershipFixture fixture = new LeadershipFixture();
  private final MonotonicTime start = fixture.now();
  private final TaskFailures failures =
      new TaskFailures(fixture.ledger, fixture.machines, CHANGES_PER_S, start);
  private final JobBackoff backoff = failures.jobBackoff();
  private final Machine first = fixture.addMachine("n-1");
  private final Machine second = fixture.addMachine("n-2");
  private final Machine third = fixture.addMachine("n-3");
  private final Job job = job("wk-1");

  private Job job(String id) {
    return fixture.addJob(SubmissionJson.smallJob(id, "batch", 4));
  }

  /** Creates a job that is healthy because a task has run for long enough. */
  private Job healthyJob(String id) {
    Job healthy = job(id);
    Attempt attempt = fixture.openAttempt(healthy, 0, third);
    attempt.observe(AttemptState.RUNNING, start.plusSeconds(-21));
    return healthy;
  }

  private void failOnThreeMachines(MonotonicTime now) {
    for (Machine machine : List.of(first, second, third)) {
      failures.recordFailure(machine, job, now);
    }
  }

  /** Failures that are attributed to machines. */
  @Nested
  class Quarantine {
    @Test
    void startsAtSecondFailureOfHealthyJob() {
      Job healthy = healthyJob("wk-2");
      failures.recordFailure(first, healthy, start);
      assertFalse(first.health().isQuarantined(start));
      failures.recordFailure(first, healthy, start);
      assertTrue(first.health().isQuarantined(start.plusSeconds(599)));
      assertFalse(first.health().isQuarantined(start.plusSeconds(600)));
    }

    @Test
    void startsAtFailureOfThirdUnprovenJob() {
      failures.recordFailure(first, job, start);
      failures.recordFailure(first, job, start);
      failures.recordFailure(first, job("wk-2"), start);
      assertFalse(first.health().isQuarantined(start));
      failures.recordFailure(first, job("wk-3"), start);
      assertTrue(first.health().isQuarantined(start));
    }

    @Test
    void doesNotStartIfTaskSucceedsBetweenFailures() {
      Job healthy = healthyJob("wk-2");
      failures.recordFailure(first, healthy, start);
      failures.recordSuccess(first, job("wk-3"), start);
      failures.recordFailure(first, healthy, start);
      assertFalse(first.health().isQuarantined(start));
    }

    /**
     * The job also fails on a second machine, so its failure no longer counts against the first.
     */
    @Test
    void endsIfJobAlsoFailsElsewhere() {
      failures.recordFailure(first, job, start);
      failures.recordFailure(first, job("wk-2"), start);
      failures.recordFailure(first, job("wk-3"), start);
      failures.recordFailure(second, job, start);
      assertFalse(first.health().isQuarantined(start));
    }

    @Test
    void startsIfJobSucceedsElsewhere() {
      failures.recordFailure(first, job, start);
      failures.recordFailure(first, job, start);
      assertFalse(first.health().isQuarantined(start));
      failures.recordSuccess(second, job, start);
      assertTrue(first.health().isQuarantined(start));
    }
  }

  @Test
  void machineRefusesTasksForPauseAfterRefusal() {
    failures.recordRefusal(first, start);
    assertFalse(first.health().acceptsTasks(start.plusSeconds(4.9)));
    assertTrue(first.health().acceptsTasks(start.plusSeconds(5.1)));
  }

  /** Failures that are attributed to jobs. */
  @Nested
  class BackOff {
    @Test
    void startsAtFailureOnThirdMachine() {
      failures.recordFailure(first, job, start);
      failures.recordFailure(second, job, start);
      assertFalse(backoff.isBlocked(job, start));
      assertFalse(backoff.isLimitedToSingleTask(job, start));
      failures.recordFailure(third, job, start);
      assertTrue(backoff.isBlocked(job, start));
      assertTrue(backoff.isLimitedToSingleTask(job, start));
      assertEquals(1, job.backoffLevel());
    }

    /** Tasks that ran concurrently may fail simultaneously. */
    @Test
    void countsFailuresDuringBackOffAsOneTry() {
      failOnThreeMachines(start);
      failOnThreeMachines(start.plusSeconds(1));
      assertEquals(1, job.backoffLevel());
    }

    @ParameterizedTest(name = "level {0}")
    @CsvSource({"1, 2", "2, 4", "3, 8", "5, 32", "6, 60", "9, 60"})
    void doublesUpToOneMinute(int level, double seconds) {
      fixture.ledger.setBackoffLevel(job, level);
      backoff.recover(List.of(job), start);
      assertEquals(level, job.backoffLevel());
      assertTrue(backoff.isBlocked(job, start.plusSeconds(seconds - SLOT_S)));
      assertFalse(backoff.isBlocked(job, start.plusSeconds(seconds + 2 * SLOT_S)));
    }

    @Test
    void growsWithNextFailure() {
      failOnThreeMachines(start);
      failures.recordFailure(first, job, start.plusSeconds(10));
      assertEquals(2, job.backoffLevel());
    }

    @Test
    void endsWithFirstSuccess() {
      failOnThreeMachines(start);
      failures.recordSuccess(first, job, start);
      assertEquals(0, job.backoffLevel());
      assertFalse(backoff.isBlocked(job, start));
      assertFalse(backoff.isLimitedToSingleTask(job, start));
    }

    @Test
    void isNotAppliedToHealthyJob() {
      Job healthy = healthyJob("wk-2");
      for (Machine machine : List.of(first, second, third)) {
        failures.recordFailure(machine, healthy, start);
      }
      assertEquals(0, healthy.backoffLevel());
      assertFalse(backoff.isBlocked(healthy, start));
    }

    @Test
    void blocksFurtherTasksDuringTry() {
      failOnThreeMachines(start);
      MonotonicTime later = start.plusSeconds(10);
      assertFalse(backoff.isBlocked(job, later));
      fixture.openAttempt(job, 0, first);
      assertTrue(backoff.isBlocked(job, later));
    }
  }

  @Test
  void jobUnknownToWorkerIsBlockedTemporarily() {
    failures.recordUnknownJob(job, start);
    assertTrue(backoff.isBlocked(job, start.plusSeconds(2.9)));
    assertFalse(backoff.isBlocked(job, start.plusSeconds(3)));
    assertEquals(0, job.backoffLevel());
  }

  @Test
  void jobAvoidsMachinesOnWhichItFailed() {
    assertEquals(Set.of(), backoff.avoidedMachines(job, start));
    failures.recordFailure(first, job, start);
    assertEquals(Set.of(first.id()), backoff.avoidedMachines(job, start));
    assertEquals(Set.of(), backoff.avoidedMachines(job, start.plusSeconds(46)));
  }
}
