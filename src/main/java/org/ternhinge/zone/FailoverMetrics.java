package org.ternhinge.zone;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Histograms of the time from displacement to the new attempt of a task, one per tier. */
public final class FailoverMetrics {
  private static final long MAX_MS = 3_600_000;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double MILLIS_PER_S = 1000;

  private final Map<String, Histogram> waits = new TreeMap<>();

  /** Records tasks of a tier that got new attempts after the given wait. */
  void recordMoved(String tier, double waitedS, int tasks) {
    long millis = Math.max(0, Math.min(MAX_MS, (long) (waitedS * MILLIS_PER_S)));
    waits
        .computeIfAbsent(tier, key -> new Histogram(MAX_MS, SIGNIFICANT_DIGITS))
        .recordValueWithCount(millis, tasks);
  }

  /** Returns a summary in milliseconds by tier, for tiers of which at least one task has moved. */
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
