package org.ternhinge.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.ternhinge.metrics.WorkerCommandMetrics.Event;

/** The summary of commands to workers. */
class WorkerCommandMetricsTest {
  private final WorkerCommandMetrics metrics = new WorkerCommandMetrics();

  @Test
  void summaryNamesAllEventsAndResetsThem() {
    metrics.count(Event.FORGET);
    metrics.count(Event.FORGET);
    metrics.count(Event.UNEXPECTED_TASK);
    String line = metrics.drainSummary().orElseThrow();
    assertTrue(line.startsWith("worker-commands counts forget=2 "), line);
    assertTrue(line.endsWith(" unexpected_task=1"), line);
    assertEquals(0, metrics.countOf(Event.FORGET));
    assertEquals(Optional.empty(), metrics.drainSummary());
  }
}
