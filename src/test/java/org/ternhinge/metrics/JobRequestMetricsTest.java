package org.ternhinge.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MonotonicTime;

/** Counts of requests about jobs, and the job that is unanswered for longest. */
class JobRequestMetricsTest {
  private static final JobId FIRST = new JobId("wk-000001");
  private static final JobId SECOND = new JobId("wk-000002");

  private final JobRequestMetrics metrics = new JobRequestMetrics();

  private static MonotonicTime at(double seconds) {
    return new MonotonicTime(0).plusSeconds(seconds);
  }

  private String summaryAt(double seconds) {
    return metrics.drainSummary(at(seconds)).orElseThrow();
  }

  @Test
  void summaryNamesTheJobThatIsUnansweredLongest() {
    metrics.count(JobRequestMetrics.Event.REFUSED);
    metrics.recordRefusal(FIRST, at(1));
    metrics.recordRefusal(SECOND, at(2));
    metrics.recordRefusal(FIRST, at(40));
    String line = summaryAt(50);
    assertTrue(line.contains(" refused=1 "), line);
    assertTrue(line.contains("unanswered_jobs=2 longest_job=wk-000001 longest_s=49.000"), line);
  }

  @Test
  void answerEndsTheWaitOfAJob() {
    metrics.count(JobRequestMetrics.Event.ANSWERED_FROM_STORE);
    metrics.recordRefusal(FIRST, at(1));
    metrics.recordAnswer(FIRST);
    assertTrue(summaryAt(2).endsWith("unanswered_jobs=0"));
  }

  @Test
  void jobThatNobodyAsksForIsDropped() {
    metrics.count(JobRequestMetrics.Event.REFUSED);
    metrics.recordRefusal(FIRST, at(1));
    assertTrue(summaryAt(62).endsWith("unanswered_jobs=0"));
  }

  @Test
  void countsStartAnewAfterASummary() {
    metrics.count(JobRequestMetrics.Event.NO_LEADER);
    assertTrue(summaryAt(1).contains(" no_leader=1 "));
    assertEquals(Optional.empty(), metrics.drainSummary(at(2)));
  }
}
