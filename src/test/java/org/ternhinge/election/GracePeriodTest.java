package org.ternhinge.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Settings;
import org.ternhinge.config.SettingsException;
import org.ternhinge.config.Tuning;

/** The inequality that makes cancellations safe during a long outage of the key-value store. */
class GracePeriodTest {
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
  void tasksEndBeforeCancellationIsConfirmed(
      double lease, double cancel, double graceS, double margin, double expected)
      throws SettingsException {
    Settings.WorkerTimings workers = new Settings.WorkerTimings(3, lease, 30, 5, cancel);
    Tuning tuning = Tuning.read("grace_s = " + graceS + "\nmargin_s = " + margin);
    double grace = Election.gracePeriodS(tuning, workers);
    assertEquals(expected, grace, 0.001);
    // Times since the last successful renewal was sent, by the clock of the key-value store: the
    // earliest at which another node may lead, and the latest at which a worker of the old leader
    // runs tasks. The clocks of the leader and the worker are as slow as the drift allows.
    double earliestTakeoverAt = tuning.leadershipS();
    double validity = tuning.leadershipS() * (1 - Settings.MAX_CLOCK_DRIFT) - margin;
    double tasksEndAt = (validity + grace) * (1 + DRIFT) + lease * (1 + DRIFT);
    assertTrue(
        tasksEndAt <= earliestTakeoverAt + cancel,
        tasksEndAt + " s is later than " + (earliestTakeoverAt + cancel));
  }
}
