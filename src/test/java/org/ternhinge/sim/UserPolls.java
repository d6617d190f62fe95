package org.ternhinge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ternhinge.model.JobId;

/** Polls and repeated submissions of accepted jobs by users. */
final class UserPolls {
  private final SimCluster cluster;
  private final UserJobs jobs;

  UserPolls(SimCluster cluster, UserJobs jobs) {
    this.cluster = cluster;
    this.jobs = jobs;
  }

  /** Polls a job at a random controller. */
  void poll(JobId id) {
    pollAt(cluster.nextInt(cluster.nodeCount()), id);
  }

  /** Polls a job at every controller, once it is accepted. */
  void pollAllControllers(JobId id) {
    for (int i = 0; jobs.isAccepted(id) && i < cluster.nodeCount(); i++) {
      pollAt(i, id);
    }
  }

  private void pollAt(int controller, JobId id) {
    String previousState = jobs.lastState(id);
    cluster.controllers.user(
        controller,
        UserRequests.poll(id),
        UserRequests.ifDecided(
            answer -> {
              if (answer.status() == 200) {
                jobs.recordReportedState(id, UserRequests.state(answer), previousState);
              } else {
                jobs.recordViolation("forgotten: " + id + " answered " + answer.status());
              }
            }));
  }

  /**
   * Repeats the submission of a known job; the response must be its state, whatever the repeated
   * submission contains.
   */
  void repeatSubmission(JobId id, ObjectNode body) {
    String previousState = jobs.lastState(id);
    cluster.controllers.user(
        UserRequests.submission(body),
        UserRequests.ifDecided(
            answer -> {
              if (answer.status() == 200) {
                jobs.recordReportedState(id, UserRequests.state(answer), previousState);
              } else {
                jobs.recordViolation("forgotten: repeat of " + id + " answered " + answer.status());
              }
            }));
  }
}
