package org.ternhinge.metrics;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.ternhinge.model.EventLine;

/**
 * Counts events of several kinds since the last summary. Not safe for use by several threads.
 *
 * @param <E> the kinds of events
 */
final class EventCounts<E extends Enum<E>> {
  private final Class<E> kinds;
  private final Map<E, Long> counts;

  EventCounts(Class<E> kinds) {
    this.kinds = kinds;
    this.counts = new EnumMap<>(kinds);
  }

  void count(E event) {
    counts.merge(event, 1L, Long::sum);
  }

  long countOf(E event) {
    return counts.getOrDefault(event, 0L);
  }

  boolean isEmpty() {
    return counts.isEmpty();
  }

  /** Adds the counts of all kinds, in the order of their declaration, to a line and resets them. */
  void drainTo(EventLine line) {
    for (E event : kinds.getEnumConstants()) {
      line.with(event.name().toLowerCase(Locale.ROOT), countOf(event));
    }
    counts.clear();
  }
}
