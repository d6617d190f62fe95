package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MonotonicTime;

/** Quarantine, refused tasks and attribution of failures. */
class MachineHealthTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private static final JobId JOB = new JobId("wk-1");
  private static final JobId OTHER_JOB = new JobId("wk-2");
  private final MachineHealth health = new MachineHealth();

  @Test
  void quarantineEndsAtGivenTimeOrOnRequest() {
    assertFalse(health.isQuarantined(NOW));
    health.quarantineUntil(NOW.plusSeconds(600));
    assertTrue(health.isQuarantined(NOW.plusSeconds(599)));
    assertFalse(health.isQuarantined(NOW.plusSeconds(600)));
    health.endQuarantine();
    assertFalse(health.isQuarantined(NOW.plusSeconds(1)));
  }

  @Test
  void machineAcceptsTasksAfterRefusalPause() {
    assertTrue(health.acceptsTasks(NOW));
    health.blockPlacementsUntil(NOW.plusSeconds(5));
    assertFalse(health.acceptsTasks(NOW.plusSeconds(5)));
    assertTrue(health.acceptsTasks(NOW.plusSeconds(5.1)));
  }

  @Test
  void unprovenJobCountsOnceIfConditionHolds() {
    MachineFailures failures = health.failures();
    failures.recordUnprovenJobFailure(JOB);
    failures.recordUnprovenJobFailure(JOB);
    failures.recordUnprovenJobFailure(OTHER_JOB);
    assertEquals(2, failures.unprovenJobCount(job -> true));
    assertEquals(1, failures.unprovenJobCount(JOB::equals));
    assertEquals(0, failures.healthyJobFailureCount());
  }

  @Test
  void failuresOfProvenJobAreAttributedToMachine() {
    MachineFailures failures = health.failures();
    failures.recordHealthyJobFailure();
    failures.recordUnprovenJobFailure(JOB);
    failures.recordUnprovenJobFailure(JOB);
    failures.markJobHealthy(JOB);
    assertEquals(3, failures.healthyJobFailureCount());
    assertEquals(0, failures.unprovenJobCount(job -> true));
    failures.clear();
    assertEquals(0, failures.healthyJobFailureCount());
  }
}
