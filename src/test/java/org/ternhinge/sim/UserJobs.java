package org.ternhinge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobSpec;

/**
 * What users know of their jobs: which were submitted and accepted, which they asked to cancel, and
 * what they were told. Each answer about a job's state is checked against the earlier ones and
 * against what really ran.
 */
final class UserJobs {
  static final String DONE = "done";
  static final String CANCELLED = "cancelled";

  private final SimCluster cluster;
  private final Map<JobId, JobSpec> accepted = new LinkedHashMap<>();
  private final Map<JobId, ObjectNode> bodies = new LinkedHashMap<>();
  private final Map<JobId, Double> submittedAt = new HashMap<>();
  private final Map<JobId, Double> lastAnsweredAt = new HashMap<>();
  private final Map<JobId, String> lastTold = new HashMap<>();
  private final Map<JobId, String> finalTold = new HashMap<>();
  private final Set<JobId> toldDone = new HashSet<>();
  private final Set<JobId> cancelAsked = new HashSet<>();

  UserJobs(SimCluster cluster) {
    this.cluster = cluster;
  }

  // ---- submissions ----------------------------------------------------------------------------

  void submitted(JobSpec spec, ObjectNode body) {
    bodies.put(spec.id(), body.deepCopy());
    submittedAt.put(spec.id(), cluster.clock.seconds());
  }

  void accepted(JobSpec spec) {
    accepted.putIfAbsent(spec.id(), spec);
    lastAnsweredAt.put(spec.id(), cluster.clock.seconds());
  }

  List<JobId> accepted() {
    return new ArrayList<>(accepted.keySet());
  }

  boolean isAccepted(JobId id) {
    return accepted.containsKey(id);
  }

  /** All services that were ever submitted, in that order. */
  List<JobId> submittedServices() {
    return bodies.entrySet().stream()
        .filter(submission -> Specs.of(submission.getValue()).isService())
        .map(Map.Entry::getKey)
        .toList();
  }

  JobSpec spec(JobId id) {
    return accepted.get(id);
  }

  /** A job as it was submitted. */
  ObjectNode body(JobId id) {
    return bodies.get(id);
  }

  double submittedAt(JobId id) {
    return submittedAt.get(id);
  }

  // ---- cancellations --------------------------------------------------------------------------

  /** A user asks to cancel a job; says whether that is the first time. */
  boolean askToCancel(JobId id) {
    return cancelAsked.add(id);
  }

  boolean cancelAsked(JobId id) {
    return cancelAsked.contains(id);
  }

  /**
   * Whether a job may be cancelled by now: its user or that of a dependency has asked for it, and
   * was not told that it was too late.
   */
  boolean mayBeCancelled(JobId id) {
    return cancelAsked(id)
        || cluster.jobs.dependencies(id).stream()
            .anyMatch(
                dependency -> cancelAsked(dependency) && !DONE.equals(finalTold.get(dependency)));
  }

  /** Whether a job has to be cancelled: it is, or a dependency is. */
  boolean hasToBeCancelled(JobId id) {
    return CANCELLED.equals(finalTold.get(id))
        || cluster.jobs.dependencies(id).stream()
            .anyMatch(dependency -> CANCELLED.equals(finalTold.get(dependency)));
  }

  // ---- answers --------------------------------------------------------------------------------

  /** The state that a user was told last, or null. */
  String lastTold(JobId id) {
    return lastTold.get(id);
  }

  double lastAnsweredAt(JobId id) {
    return lastAnsweredAt.get(id);
  }

  /** Whether its user was told that a job is done or cancelled. */
  boolean isOver(JobId id) {
    return finalTold.containsKey(id);
  }

  static boolean isFinal(String state) {
    return DONE.equals(state) || CANCELLED.equals(state);
  }

  /**
   * A user is told a job's state.
   *
   * @param before what the user knew when asking; only that binds the answer
   */
  void told(JobId id, String state, String before) {
    lastAnsweredAt.put(id, cluster.clock.seconds());
    if (!CANCELLED.equals(lastTold.get(id))) {
      lastTold.put(id, state);
    }
    if (!isFinal(state) && cluster.cancellations.isOverdue(id)) {
      Double cancelledAt = cluster.cancellations.firstToldAt(id);
      violation("orphaned: " + id + " is " + state + " although cancelled at " + cancelledAt);
    }
    if (state.equals(CANCELLED)) {
      cluster.cancellations.told(id);
    }
    checkFinalStateStays(id, state, before);
    if (state.equals(DONE)) {
      checkDone(id);
    }
    if (state.equals(CANCELLED) && !mayBeCancelled(id)) {
      violation("went_back: " + id + " cancelled by nobody");
    }
    if (state.equals(DONE) && toldDone.add(id)) {
      checkCancelledWith(id);
    }
  }

  /** Rule {@code went_back}: a final state never changes. */
  private void checkFinalStateStays(JobId id, String state, String before) {
    if (isFinal(state)) {
      String first = finalTold.putIfAbsent(id, state);
      if (first != null && !first.equals(state)) {
        violation("went_back: " + id + " was told " + first + " and then " + state);
      }
    }
    if (isFinal(before) && !before.equals(state)) {
      violation("went_back: " + id + " from " + before + " to " + state);
    }
  }

  /** Rule {@code not_done}: a job is called done only when all its tasks are completed. */
  private void checkDone(JobId id) {
    if (!cluster.allCompleted(id)) {
      violation("not_done: " + id);
    }
  }

  /**
   * A job that was called cancelled together with a dependency, before its user heard that the
   * dependency is done, was cancelled by nobody.
   */
  private void checkCancelledWith(JobId done) {
    for (JobId id : accepted.keySet()) {
      if (CANCELLED.equals(finalTold.get(id)) && !mayBeCancelled(id)) {
        violation("went_back: " + id + " cancelled with " + done + ", which is done");
      }
    }
  }

  /** Notes a broken rule. */
  void violation(String what) {
    cluster.violations.add(what);
  }
}
