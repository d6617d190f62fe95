package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MonotonicTime;

/** Quarantine, refusals and the failures that are attributed to a machine. */
class MachineHealthTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private static final JobId JOB = new JobId("wk-1");
  private static final JobId OTHER_JOB = new JobId("wk-2");
  private final MachineHealth health = new MachineHealth();

  @Test
  void aQuarantineEndsAtItsTimeOrBefore() {
    assertFalse(health.isQuarantined(NOW));
    health.quarantineUntil(NOW.plusSeconds(600));
    assertTrue(health.isQuarantined(NOW.plusSeconds(599)));
    assertFalse(health.isQuarantined(NOW.plusSeconds(600)));
    health.endQuarantine();
    assertFalse(health.isQuarantined(NOW.plusSeconds(1)));
  }

  @Test
  void aMachineThatRefusedATaskAcceptsTasksAfterAWhile() {
    assertTrue(health.acceptsTasks(NOW));
    health.refusesTasksUntil(NOW.plusSeconds(5));
    assertFalse(health.acceptsTasks(NOW.plusSeconds(5)));
    assertTrue(health.acceptsTasks(NOW.plusSeconds(5.1)));
  }

  @Test
  void eachOtherJobCountsOnceAndOnlyIfTheConditionHolds() {
    MachineFailures failures = health.failures();
    failures.otherJobFailed(JOB);
    failures.otherJobFailed(JOB);
    failures.otherJobFailed(OTHER_JOB);
    assertEquals(2, failures.countOfOtherJobs(job -> true));
    assertEquals(1, failures.countOfOtherJobs(JOB::equals));
    assertEquals(0, failures.countOfHealthyJobs());
  }

  @Test
  void allFailuresOfAJobThatProvesHealthyAreTheMachines() {
    MachineFailures failures = health.failures();
    failures.healthyJobFailed();
    failures.otherJobFailed(JOB);
    failures.otherJobFailed(JOB);
    failures.jobIsHealthy(JOB);
    assertEquals(3, failures.countOfHealthyJobs());
    assertEquals(0, failures.countOfOtherJobs(job -> true));
    failures.clear();
    assertEquals(0, failures.countOfHealthyJobs());
  }
}
