package org.ternhinge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ternhinge.model.JobId;

/** Users' polls and repeated submissions of jobs that they know to be accepted. */
final class UserPolls {
  private final SimCluster cluster;
  private final UserJobs jobs;

  UserPolls(SimCluster cluster, UserJobs jobs) {
    this.cluster = cluster;
    this.jobs = jobs;
  }

  /** Asks some controller about a job. */
  void poll(JobId id) {
    pollAt(cluster.nextInt(cluster.nodeCount()), id);
  }

  /** Asks every controller about a job, once it is accepted. */
  void pollEverywhere(JobId id) {
    for (int i = 0; jobs.isAccepted(id) && i < cluster.nodeCount(); i++) {
      pollAt(i, id);
    }
  }

  private void pollAt(int controller, JobId id) {
    String known = jobs.lastTold(id);
    cluster.user(
        controller,
        UserRequests.poll(id),
        UserRequests.ifDecided(
            answer -> {
              if (answer.status() == 200) {
                jobs.told(id, UserRequests.state(answer), known);
              } else {
                jobs.violation("forgotten: " + id + " answered " + answer.status());
              }
            }));
  }

  /** A known job is answered with its state, whatever its repeated submission says. */
  void repeatSubmission(JobId id, ObjectNode body) {
    String known = jobs.lastTold(id);
    cluster.user(
        UserRequests.submission(body),
        UserRequests.ifDecided(
            answer -> {
              if (answer.status() == 200) {
                jobs.told(id, UserRequests.state(answer), known);
              } else {
                jobs.violation("forgotten: repeat of " + id + " answered " + answer.status());
              }
            }));
  }
}
