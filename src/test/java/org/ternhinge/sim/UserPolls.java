package org.ternhinge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ternhinge.model.JobId;

/** Users' polls and repeated submissions of accepted jobs. */
final class UserPolls {
  private final SimCluster cluster;
  private final UserJobs jobs;

  UserPolls(SimCluster cluster, UserJobs jobs) {
    this.cluster = cluster;
    this.jobs = jobs;
  }

  /** Polls a job at some controller. */
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
                jobs.answered(id, UserRequests.state(answer), previousState);
              } else {
                jobs.violation("forgotten: " + id + " answered " + answer.status());
              }
            }));
  }

  /** A known job is answered with its state, whatever its repeated submission says. */
  void repeatSubmission(JobId id, ObjectNode body) {
    String previousState = jobs.lastState(id);
    cluster.controllers.user(
        UserRequests.submission(body),
        UserRequests.ifDecided(
            answer -> {
              if (answer.status() == 200) {
                jobs.answered(id, UserRequests.state(answer), previousState);
              } else {
                jobs.violation("forgotten: repeat of " + id + " answered " + answer.status());
              }
            }));
  }
}
