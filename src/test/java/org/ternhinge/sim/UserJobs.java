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
 * The users' view of their jobs: which were submitted and accepted, which cancellations were
 * requested, and which answers came. Each answer about a job's state is checked against the earlier
 * ones and against what really ran.
 */
final class UserJobs {
  static final String DONE = "done";
  static final String CANCELLED = "cancelled";

  private final SimCluster cluster;
  private final Map<JobId, JobSpec> accepted = new LinkedHashMap<>();
  private final Map<JobId, ObjectNode> bodies = new LinkedHashMap<>();
  private final Map<JobId, Double> submittedAt = new HashMap<>();
  private final Map<JobId, Double> lastAnsweredAt = new HashMap<>();
  private final Map<JobId, String> lastState = new HashMap<>();
  private final Map<JobId, String> finalStates = new HashMap<>();
  private final Set<JobId> answeredDone = new HashSet<>();
  private final Set<JobId> cancelRequested = new HashSet<>();

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

  /** Notes that a job's cancellation is requested; true at the first time. */
  boolean requestCancel(JobId id) {
    return cancelRequested.add(id);
  }

  boolean cancelRequested(JobId id) {
    return cancelRequested.contains(id);
  }

  /**
   * Whether a job may be cancelled by now: its cancellation or that of a dependency was requested,
   * and was not answered as too late.
   */
  boolean mayBeCancelled(JobId id) {
    return cancelRequested(id)
        || cluster.jobs.dependencies(id).stream()
            .anyMatch(
                dependency ->
                    cancelRequested(dependency) && !DONE.equals(finalStates.get(dependency)));
  }

  /** Whether a job has to be cancelled: it or a dependency was answered as cancelled. */
  boolean mustBeCancelled(JobId id) {
    return CANCELLED.equals(finalStates.get(id))
        || cluster.jobs.dependencies(id).stream()
            .anyMatch(dependency -> CANCELLED.equals(finalStates.get(dependency)));
  }

  // ---- answers --------------------------------------------------------------------------------

  /** The last state in an answer, or null. */
  String lastState(JobId id) {
    return lastState.get(id);
  }

  double lastAnsweredAt(JobId id) {
    return lastAnsweredAt.get(id);
  }

  /** Whether an answer has called a job done or cancelled. */
  boolean hasFinalState(JobId id) {
    return finalStates.containsKey(id);
  }

  static boolean isFinal(String state) {
    return DONE.equals(state) || CANCELLED.equals(state);
  }

  /**
   * An answer carries a job's state.
   *
   * @param previousState the last answered state when the request was sent; only that binds the answer
   */
  void answered(JobId id, String state, String previousState) {
    lastAnsweredAt.put(id, cluster.clock.seconds());
    if (!CANCELLED.equals(lastState.get(id))) {
      lastState.put(id, state);
    }
    if (!isFinal(state) && cluster.cancellations.isOverdue(id)) {
      Double cancelledAt = cluster.cancellations.firstConfirmedAt(id);
      violation("orphaned: " + id + " is " + state + " although cancelled at " + cancelledAt);
    }
    if (state.equals(CANCELLED)) {
      cluster.cancellations.confirmed(id);
    }
    checkFinalStateStays(id, state, previousState);
    if (state.equals(DONE)) {
      checkDone(id);
    }
    if (state.equals(CANCELLED) && !mayBeCancelled(id)) {
      violation("went_back: " + id + " cancelled by nobody");
    }
    if (state.equals(DONE) && answeredDone.add(id)) {
      checkCancelledWith(id);
    }
  }

  /** Rule {@code went_back}: a final state never changes. */
  private void checkFinalStateStays(JobId id, String state, String previousState) {
    if (isFinal(state)) {
      String first = finalStates.putIfAbsent(id, state);
      if (first != null && !first.equals(state)) {
        violation("went_back: " + id + " was answered " + first + " and then " + state);
      }
    }
    if (isFinal(previousState) && !previousState.equals(state)) {
      violation("went_back: " + id + " from " + previousState + " to " + state);
    }
  }

  /** Rule {@code not_done}: a job is called done only when all its tasks are completed. */
  private void checkDone(JobId id) {
    if (!cluster.jobs.allCompleted(id)) {
      violation("not_done: " + id);
    }
  }

  /**
   * A job that was called cancelled together with a dependency, before the dependency was answered
   * as done, was cancelled by nobody.
   */
  private void checkCancelledWith(JobId done) {
    for (JobId id : accepted.keySet()) {
      if (CANCELLED.equals(finalStates.get(id)) && !mayBeCancelled(id)) {
        violation("went_back: " + id + " cancelled with " + done + ", which is done");
      }
    }
  }

  /** Notes a broken rule. */
  void violation(String what) {
    cluster.violations.add(what);
  }
}
