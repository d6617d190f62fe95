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
import org.ternhinge.model.SteadyTime;
import org.ternhinge.sim.SubmissionJson;

/** Whether failures of tasks are attributed to machines or to jobs, and what follows. */
class TaskFailuresTest {
  /** With this rate of changes a slot for retries lasts 0.02 s. */
  private static final double CHANGES_PER_S = 1000;

  private static final double SLOT_S = 0.02;

  private final LeadershipFixture fixture = new LeadershipFixture();
  private final SteadyTime start = fixture.now();
  private final TaskFailures failures =
      new TaskFailures(fixture.ledger, fixture.machines, CHANGES_PER_S, start);
  private final JobBackoff backoff = failures.jobBackoff();
  private final Machine first = fixture.machine("n-1");
  private final Machine second = fixture.machine("n-2");
  private final Machine third = fixture.machine("n-3");
  private final Job job = job("wk-1");

  private Job job(String id) {
    return fixture.job(SubmissionJson.smallJob(id, "batch", 4));
  }

  /** A job with a task that has run for long enough on a machine. */
  private Job healthyJob(String id) {
    Job healthy = job(id);
    Attempt attempt = fixture.open(healthy, 0, third);
    attempt.observe(AttemptState.RUNNING, start.plusSeconds(-21));
    return healthy;
  }

  private void failOnThreeMachines(SteadyTime now) {
    for (Machine machine : List.of(first, second, third)) {
      failures.failed(machine, job, now);
    }
  }

  /** Failures that are attributed to machines. */
  @Nested
  class Quarantine {
    @Test
    void startsAtTheSecondFailureOfAHealthyJob() {
      Job healthy = healthyJob("wk-2");
      failures.failed(first, healthy, start);
      assertFalse(first.health().isQuarantined(start));
      failures.failed(first, healthy, start);
      assertTrue(first.health().isQuarantined(start.plusSeconds(599)));
      assertFalse(first.health().isQuarantined(start.plusSeconds(600)));
    }

    @Test
    void startsAtTheFailureOfTheThirdOtherJob() {
      failures.failed(first, job, start);
      failures.failed(first, job, start);
      failures.failed(first, job("wk-2"), start);
      assertFalse(first.health().isQuarantined(start));
      failures.failed(first, job("wk-3"), start);
      assertTrue(first.health().isQuarantined(start));
    }

    @Test
    void doesNotStartWhereATaskSucceedsBetweenFailures() {
      Job healthy = healthyJob("wk-2");
      failures.failed(first, healthy, start);
      failures.succeeded(first, job("wk-3"), start);
      failures.failed(first, healthy, start);
      assertFalse(first.health().isQuarantined(start));
    }

    /**
     * The job fails on a second machine too, so its failure is no longer held against the first.
     */
    @Test
    void endsWhereAJobThatFailedThereFailsElsewhereToo() {
      failures.failed(first, job, start);
      failures.failed(first, job("wk-2"), start);
      failures.failed(first, job("wk-3"), start);
      failures.failed(second, job, start);
      assertFalse(first.health().isQuarantined(start));
    }

    @Test
    void startsWhereAJobThatFailedThereSucceedsElsewhere() {
      failures.failed(first, job, start);
      failures.failed(first, job, start);
      assertFalse(first.health().isQuarantined(start));
      failures.succeeded(second, job, start);
      assertTrue(first.health().isQuarantined(start));
    }
  }

  @Test
  void aMachineThatRefusedATaskGetsNoneForAWhile() {
    failures.noRoom(first, start);
    assertFalse(first.health().acceptsTasks(start.plusSeconds(4.9)));
    assertTrue(first.health().acceptsTasks(start.plusSeconds(5.1)));
  }

  /** Failures that are attributed to jobs. */
  @Nested
  class BackOff {
    @Test
    void startsAtTheFailureOnTheThirdMachine() {
      failures.failed(first, job, start);
      failures.failed(second, job, start);
      assertFalse(backoff.isBlocked(job, start));
      assertFalse(backoff.triesSingleTask(job, start));
      failures.failed(third, job, start);
      assertTrue(backoff.isBlocked(job, start));
      assertTrue(backoff.triesSingleTask(job, start));
      assertEquals(1, job.backoffLevel());
    }

    /** Tasks that ran at the same time fail at the same time. */
    @Test
    void countsFailuresWhileItLastsAsOneTry() {
      failOnThreeMachines(start);
      failOnThreeMachines(start.plusSeconds(1));
      assertEquals(1, job.backoffLevel());
    }

    @ParameterizedTest(name = "level {0}")
    @CsvSource({"1, 2", "2, 4", "3, 8", "5, 32", "6, 60", "9, 60"})
    void doublesUpToAMinute(int level, double seconds) {
      fixture.ledger.setBackoffLevel(job, level);
      backoff.recover(List.of(job), start);
      assertEquals(level, job.backoffLevel());
      assertTrue(backoff.isBlocked(job, start.plusSeconds(seconds - SLOT_S)));
      assertFalse(backoff.isBlocked(job, start.plusSeconds(seconds + 2 * SLOT_S)));
    }

    @Test
    void growsWithTheNextFailure() {
      failOnThreeMachines(start);
      failures.failed(first, job, start.plusSeconds(10));
      assertEquals(2, job.backoffLevel());
    }

    @Test
    void endsWithTheFirstSuccess() {
      failOnThreeMachines(start);
      failures.succeeded(first, job, start);
      assertEquals(0, job.backoffLevel());
      assertFalse(backoff.isBlocked(job, start));
      assertFalse(backoff.triesSingleTask(job, start));
    }

    @Test
    void isNotAppliedToAHealthyJob() {
      Job healthy = healthyJob("wk-2");
      for (Machine machine : List.of(first, second, third)) {
        failures.failed(machine, healthy, start);
      }
      assertEquals(0, healthy.backoffLevel());
      assertFalse(backoff.isBlocked(healthy, start));
    }

    @Test
    void blocksFurtherTasksWhileOneIsTried() {
      failOnThreeMachines(start);
      SteadyTime later = start.plusSeconds(10);
      assertFalse(backoff.isBlocked(job, later));
      fixture.open(job, 0, first);
      assertTrue(backoff.isBlocked(job, later));
    }
  }

  @Test
  void aJobWhoseDescriptionWasMissingIsBlockedForAWhile() {
    failures.unknownJob(job, start);
    assertTrue(backoff.isBlocked(job, start.plusSeconds(2.9)));
    assertFalse(backoff.isBlocked(job, start.plusSeconds(3)));
    assertEquals(0, job.backoffLevel());
  }

  @Test
  void aJobAvoidsTheMachinesOnWhichItFailed() {
    assertEquals(Set.of(), backoff.avoidedBy(job, start));
    failures.failed(first, job, start);
    assertEquals(Set.of(first.id()), backoff.avoidedBy(job, start));
    assertEquals(Set.of(), backoff.avoidedBy(job, start.plusSeconds(46)));
  }
}
