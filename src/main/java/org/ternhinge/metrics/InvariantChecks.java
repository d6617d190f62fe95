package org.ternhinge.metrics;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.model.EventLine;

/**
 * Violations of invariants that are checked at run time. A violation is logged with its facts and
 * counted; it never ends the process and changes no answer. Safe for use by several threads.
 */
public final class InvariantChecks {
  private static final Logger LOG = LoggerFactory.getLogger(InvariantChecks.class);

  /** Marker of the log lines. */
  static final String MARKER = "invariant-violated";

  /** How many violations are kept for tests; all are counted. */
  private static final int MAX_KEPT = 20;

  private final List<String> kept = new ArrayList<>();
  private long count;

  /**
   * Records a violation.
   *
   * @param line the invariant and the facts, started by {@link #line}
   */
  public synchronized void violated(EventLine line) {
    count++;
    if (kept.size() < MAX_KEPT) {
      kept.add(line.toString());
    }
    LOG.error("{}", line);
  }

  /** Starts the line of a violation of the named invariant. */
  public static EventLine line(String invariant) {
    return EventLine.of(MARKER, invariant);
  }

  /** The number of violations so far. */
  public synchronized long count() {
    return count;
  }

  /** The first violations. */
  public synchronized List<String> violations() {
    return List.copyOf(kept);
  }
}
