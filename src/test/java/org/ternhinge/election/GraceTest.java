package org.ternhinge.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Settings;
import org.ternhinge.config.SettingsException;
import org.ternhinge.config.Tuning;

/** The inequality on which cancellations rest where the key-value store is gone for long. */
class GraceTest {
  private static final double DRIFT = 0.0005;

  @ParameterizedTest(name = "lease {0}, cancel {1}, grace_s {2}, margin_s {3}: {4}")
  @CsvSource({
    "24, 44, 30, 0.3, 18.752",
    "26.5, 46.5, 30, 0.3, 18.747",
    "24, 44, 10, 0.3, 10",
    "24, 120, 30, 0.3, 30",
    "24, 44, 30, 1.5, 13.952",
    "24, 25, 30, 0.3, 0",
    "24, 24.05, 30, 0.05, 0"
  })
  void theOldLeadersLastAnswerIsOverInTime(
      double lease, double cancel, double graceS, double margin, double expected)
      throws SettingsException {
    Settings.WorkerTimings workers = new Settings.WorkerTimings(3, lease, 30, 5, cancel);
    Tuning tuning = Tuning.read("grace_s = " + graceS + "\nmargin_s = " + margin);
    double grace = Election.grace(tuning, workers);
    assertEquals(expected, grace, 0.001);
    // From the sending of the last renewal that succeeded, by the key-value store's clock: the
    // first
    // moment at which another may lead, and the last at which a worker of the old leader runs
    // tasks.
    // The leader's clock is the slowest and the worker's too.
    double confirmed = tuning.leadershipS();
    double validity = tuning.leadershipS() * (1 - Settings.MAX_CLOCK_DRIFT) - margin;
    double gone = (validity + grace) * (1 + DRIFT) + lease * (1 + DRIFT);
    assertTrue(gone <= confirmed + cancel, gone + " after " + (confirmed + cancel));
  }
}
