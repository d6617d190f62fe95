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
 * The users' view of their jobs: submissions, acceptances, requested cancellations and responses.
 * Each reported job state is checked against earlier ones and against the tasks that actually ran.
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

  void recordSubmitted(JobSpec spec, ObjectNode body) {
    bodies.put(spec.id(), body.deepCopy());
    submittedAt.put(spec.id(), cluster.clock.seconds());
  }

  void recordAccepted(JobSpec spec) {
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
        .filter(submission -> SubmissionJson.parse(submission.getValue()).isService())
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

  /** Records that the cancellation of a job is requested; returns true the first time. */
  boolean requestCancel(JobId id) {
    return cancelRequested.add(id);
  }

  boolean cancelRequested(JobId id) {
    return cancelRequested.contains(id);
  }

  /**
   * Whether a job may be cancelled by now: the cancellation of the job or of a dependency was
   * requested and not rejected as too late.
   */
  boolean mayBeCancelled(JobId id) {
    return cancelRequested(id)
        || cluster.jobs.dependencies(id).stream()
            .anyMatch(
                dependency ->
                    cancelRequested(dependency) && !DONE.equals(finalStates.get(dependency)));
  }

  /** Whether a job must be cancelled: the job or a dependency was reported as cancelled. */
  boolean mustBeCancelled(JobId id) {
    return CANCELLED.equals(finalStates.get(id))
        || cluster.jobs.dependencies(id).stream()
            .anyMatch(dependency -> CANCELLED.equals(finalStates.get(dependency)));
  }

  // ---- answers --------------------------------------------------------------------------------

  /** The state in the last response, or null. */
  String lastState(JobId id) {
    return lastState.get(id);
  }

  double lastAnsweredAt(JobId id) {
    return lastAnsweredAt.get(id);
  }

  /** Whether a response has reported a job as done or cancelled. */
  boolean hasFinalState(JobId id) {
    return finalStates.containsKey(id);
  }

  static boolean isFinal(String state) {
    return DONE.equals(state) || CANCELLED.equals(state);
  }

  /**
   * Checks and records a reported job state.
   *
   * @param previousState the last reported state when the request was sent; only that state
   *     constrains the response
   */
  void recordReportedState(JobId id, String state, String previousState) {
    lastAnsweredAt.put(id, cluster.clock.seconds());
    if (!CANCELLED.equals(lastState.get(id))) {
      lastState.put(id, state);
    }
    if (!isFinal(state) && cluster.cancellations.isOverdue(id)) {
      Double cancelledAt = cluster.cancellations.firstConfirmedAt(id);
      recordViolation("orphaned: " + id + " is " + state + " although cancelled at " + cancelledAt);
    }
    if (state.equals(CANCELLED)) {
      cluster.cancellations.recordConfirmation(id);
    }
    checkFinalStateStays(id, state, previousState);
    if (state.equals(DONE)) {
      checkDone(id);
    }
    if (state.equals(CANCELLED) && !mayBeCancelled(id)) {
      recordViolation("went_back: " + id + " cancelled by nobody");
    }
    if (state.equals(DONE) && answeredDone.add(id)) {
      checkDependentsOf(id);
    }
  }

  /** Rule {@code went_back}: a final state never changes. */
  private void checkFinalStateStays(JobId id, String state, String previousState) {
    if (isFinal(state)) {
      String first = finalStates.putIfAbsent(id, state);
      if (first != null && !first.equals(state)) {
        recordViolation("went_back: " + id + " was answered " + first + " and then " + state);
      }
    }
    if (isFinal(previousState) && !previousState.equals(state)) {
      recordViolation("went_back: " + id + " from " + previousState + " to " + state);
    }
  }

  /** Rule {@code not_done}: a job is reported as done only when all its tasks are completed. */
  private void checkDone(JobId id) {
    if (!cluster.jobs.allCompleted(id)) {
      recordViolation("not_done: " + id);
    }
  }

  /**
   * Checks the cancelled jobs once a dependency is reported as done: a job that was reported as
   * cancelled only because of that dependency was cancelled without a request.
   */
  private void checkDependentsOf(JobId done) {
    for (JobId id : accepted.keySet()) {
      if (CANCELLED.equals(finalStates.get(id)) && !mayBeCancelled(id)) {
        recordViolation("went_back: " + id + " cancelled with " + done + ", which is done");
      }
    }
  }

  /** Records a rule violation. */
  void recordViolation(String what) {
    cluster.violations.add(what);
  }
}
