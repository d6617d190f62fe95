package org.ternhinge.metrics;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ternhinge.model.EventLine;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MonotonicTime;

/**
 * Counts how users' requests about jobs end at this node, and records for how long each job has
 * gone unanswered here. Safe for use by several threads.
 */
public final class JobRequestMetrics {
  /** Marker of the log line. */
  static final String MARKER = "job-requests";

  /**
   * A job is forgotten here when nobody has asked for it for this many seconds; its user may be
   * answered by another node.
   */
  private static final double UNANSWERED_TTL_S = 60;

  /** What happened to a request, or to one step of it. */
  public enum Event {
    /** Answered by this node, which leads. */
    ANSWERED_AS_LEADER,
    /** Answered from the key-value store by a node that does not lead. */
    ANSWERED_FROM_STORE,
    /** Answered by another node. */
    ANSWERED_BY_PEER,
    /** This node knew of no leader. */
    NO_LEADER,
    /** The leader could not answer now. */
    LEADER_BUSY,
    /** The leader took so long that the request was also tried elsewhere. */
    LEADER_SLOW,
    /** The leader did not respond in time. */
    LEADER_NO_RESPONSE,
    /** The key-value store was not read, since no token was left. */
    STORE_NO_TOKEN,
    /** The key-value store rejected the read or was not reachable. */
    STORE_REFUSED,
    /** The key-value store did not respond to the read in time. */
    STORE_NO_RESPONSE,
    /** A record of the job or of one of its dependencies can't be decoded. */
    RECORD_UNREADABLE,
    /** A final response came after the deadline, when the user had been answered. */
    DISCARDED_RESPONSE,
    /** The user got 503. */
    REFUSED,
    /** The user got 503 because no answer was found by the deadline. */
    REFUSED_AT_DEADLINE
  }

  /** The first and the last refusal of a job since it was last answered. */
  private record Unanswered(MonotonicTime since, MonotonicTime lastAskedAt) {}

  private final EventCounts<Event> counts = new EventCounts<>(Event.class);
  private final Map<JobId, Unanswered> unanswered = new HashMap<>();

  /** Counts an event. */
  public synchronized void count(Event event) {
    counts.count(event);
  }

  /** Records that a user's request about a job was answered. */
  public synchronized void recordAnswer(JobId job) {
    unanswered.remove(job);
  }

  /** Records that a user's request about a job was refused. */
  public synchronized void recordRefusal(JobId job, MonotonicTime now) {
    Unanswered earlier = unanswered.get(job);
    unanswered.put(job, new Unanswered(earlier == null ? now : earlier.since(), now));
  }

  /** Returns the number of events of a kind since the last summary. */
  public synchronized long countOf(Event event) {
    return counts.countOf(event);
  }

  /** Returns the log line of the events since the last summary; empty if there were none. */
  synchronized Optional<String> drainSummary(MonotonicTime now) {
    unanswered.values().removeIf(entry -> now.secondsSince(entry.lastAskedAt()) > UNANSWERED_TTL_S);
    if (counts.isEmpty()) {
      return Optional.empty();
    }
    EventLine line = EventLine.of(MARKER, "counts");
    counts.drainTo(line);
    line.with("unanswered_jobs", unanswered.size());
    longestUnanswered()
        .ifPresent(
            entry ->
                line.with("longest_job", entry.getKey())
                    .withSeconds("longest_s", now.secondsSince(entry.getValue().since())));
    return Optional.of(line.toString());
  }

  private Optional<Map.Entry<JobId, Unanswered>> longestUnanswered() {
    return unanswered.entrySet().stream()
        .min((a, b) -> a.getValue().since().compareTo(b.getValue().since()));
  }
}
