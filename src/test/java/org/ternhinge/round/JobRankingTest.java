package org.ternhinge.round;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.JobSpec;

/** The order of jobs by size and waiting time. */
class JobRankingTest {
  private static JobSpec spec(String kind, int tasks, double cpus, double estimateS) {
    return SubmissionJson.parse(
        SubmissionJson.smallJob("wk-1", kind, tasks).put("cpus", cpus).put("aaetlun_s", estimateS));
  }

  /** The key of a job in the form: kind, tasks, tasks done, seconds waited. */
  private static double key(String job) {
    String[] words = job.trim().split(" ", -1);
    int tasks = Integer.parseInt(words[1]);
    int done = Integer.parseInt(words[2]);
    double waited = Double.parseDouble(words[3]);
    return JobRanking.key(
        spec(words[0], tasks, 2, 10), new JobRanking.Progress(tasks - done, done, 0, waited));
  }

  @ParameterizedTest(name = "{0} ranks before {1}")
  @CsvSource({
    "group 9 0 0, daemon 1 0 100",
    "daemon 9 0 0, batch 1 0 100",
    "group 1 0 0, group 2 0 0",
    "group 2 0 60, group 1 0 0",
    "daemon 1 0 0, daemon 2 0 0",
    "batch 5 0 0, batch 6 0 0",
    "batch 9 5 0, batch 5 0 0",
    "batch 9 0 60, batch 4 0 0",
    "batch 900 0 121, batch 1 0 0",
    "batch 900 0 122, batch 1 0 121",
    "batch 1 0 0, batch 900 1 121",
    "group 900 0 121, group 1 0 0"
  })
  void ranksBefore(String first, String second) {
    assertTrue(key(first) < key(second), key(first) + " < " + key(second));
  }

  @ParameterizedTest(name = "open {0}, done {1}, waited {2} s: overdue {3}")
  @CsvSource({"0, 0, 120, false", "0, 0, 121, true", "1, 0, 121, false", "0, 1, 121, false"})
  void onlyJobWithoutStartedTaskIsOverdue(int open, int done, double waited, boolean overdue) {
    assertEquals(overdue, new JobRanking.Progress(3, done, open, waited).isOverdue());
  }
}
