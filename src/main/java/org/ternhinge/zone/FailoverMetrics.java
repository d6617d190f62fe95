package org.ternhinge.zone;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Histograms of how long displaced tasks waited for their new attempts, one for each tier. */
public final class FailoverMetrics {
  private static final long MAX_MS = 3_600_000;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double MILLIS_PER_S = 1000;

  private final Map<String, Histogram> waits = new TreeMap<>();

  /** Counts tasks of a tier that have new attempts after a wait. */
  void recordMoved(String tier, double waitedS, int tasks) {
    long millis = Math.max(0, Math.min(MAX_MS, (long) (waitedS * MILLIS_PER_S)));
    waits
        .computeIfAbsent(tier, key -> new Histogram(MAX_MS, SIGNIFICANT_DIGITS))
        .recordValueWithCount(millis, tasks);
  }

  /** A line of text, in milliseconds, for each tier of which a task has moved. */
  public Map<String, String> lines() {
    Map<String, String> lines = new TreeMap<>();
    waits.forEach(
        (tier, histogram) ->
            lines.put(
                tier,
                "n "
                    + histogram.getTotalCount()
                    + ", p50 "
                    + histogram.getValueAtPercentile(50)
                    + ", p99 "
                    + histogram.getValueAtPercentile(99)
                    + ", max "
                    + histogram.getMaxValue()));
    return lines;
  }
}
