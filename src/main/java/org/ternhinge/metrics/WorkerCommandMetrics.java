package org.ternhinge.metrics;

import java.util.Optional;
import org.ternhinge.model.EventLine;

/**
 * Counts the commands to workers about tasks without an open attempt. Safe for use by several
 * threads.
 */
public final class WorkerCommandMetrics {
  /** Marker of the log line. */
  static final String MARKER = "worker-commands";

  /** What happened to a reported task or to the worker that reports it. */
  public enum Event {
    /** A worker was told to forget an ended task. */
    FORGET,
    /** A worker was not yet told, since a direct start of the task might still be executed. */
    FORGET_DELAYED,
    /** The fencing token of a worker was raised. */
    TOKEN_RAISED,
    /** A task without an open attempt had not ended and was stopped. */
    UNEXPECTED_TASK
  }

  private final EventCounts<Event> counts = new EventCounts<>(Event.class);

  /** Counts an event. */
  public synchronized void count(Event event) {
    counts.count(event);
  }

  /** Returns the number of events of a kind since the last summary. */
  public synchronized long countOf(Event event) {
    return counts.countOf(event);
  }

  /** Returns the log line of the events since the last summary; empty if there were none. */
  synchronized Optional<String> drainSummary() {
    if (counts.isEmpty()) {
      return Optional.empty();
    }
    EventLine line = EventLine.of(MARKER, "counts");
    counts.drainTo(line);
    return Optional.of(line.toString());
  }
}
