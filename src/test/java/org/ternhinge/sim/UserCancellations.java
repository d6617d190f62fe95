package org.ternhinge.sim;

import java.util.random.RandomGenerator;
import org.ternhinge.http.Response;
import org.ternhinge.model.JobId;

/** Cancellation requests of users, which are retried until answered. */
final class UserCancellations {
  private static final int MAX_RETRIES = 300;
  private static final double RETRY_DELAY_S = 1;

  private final SimCluster cluster;
  private final UserJobs jobs;
  private final UserPolls polls;
  private final RandomGenerator random;

  UserCancellations(SimCluster cluster, UserJobs jobs, UserPolls polls, RandomGenerator random) {
    this.cluster = cluster;
    this.jobs = jobs;
    this.polls = polls;
    this.random = random;
  }

  /** Requests a job's cancellation, unless it was requested before. */
  void cancel(JobId id) {
    if (jobs.requestCancel(id)) {
      send(id, MAX_RETRIES);
    }
  }

  private void send(JobId id, int retries) {
    boolean accepted = jobs.isAccepted(id);
    cluster.controllers.user(
        UserRequests.cancellation(id),
        answer -> {
          if (!accept(id, accepted, answer) && retries > 0) {
            cluster.clock.schedule(RETRY_DELAY_S, () -> send(id, retries - 1));
          }
        });
  }

  /**
   * Requests a cancellation at one controller; the action runs as soon as the user has the
   * response.
   */
  void cancelAt(int controller, JobId id, Runnable then) {
    jobs.requestCancel(id);
    boolean accepted = jobs.isAccepted(id);
    cluster.controllers.user(
        controller,
        UserRequests.cancellation(id),
        answer -> {
          if (!accept(id, accepted, answer)) {
            cluster.clock.schedule(RETRY_DELAY_S, () -> cancelAt(controller, id, then));
          } else if (answer.status() == 200) {
            then.run();
          }
        });
  }

  /**
   * Processes a response; returns whether it decides the request.
   *
   * @param accepted whether the job was accepted when the request was sent; before that, 404 is a
   *     correct response, and the request is retried
   */
  private boolean accept(JobId id, boolean accepted, Response answer) {
    if (answer != null && answer.status() == 200) {
      jobs.recordReportedState(id, UserRequests.state(answer), jobs.lastState(id));
      return true;
    }
    if (answer != null && answer.status() == 404 && accepted) {
      jobs.recordViolation("forgotten: cancel of " + id + " answered 404");
      return true;
    }
    return false;
  }

  /**
   * For a share of jobs, sends a cancellation, polls and repeated submissions right at the end of
   * the last task.
   */
  void cancelAtCompletion(double share) {
    cluster.events.onLastTaskEnd(
        id -> {
          if (!jobs.isAccepted(id) || random.nextDouble() >= share) {
            return;
          }
          double[] delays = {0, random.nextDouble() * 0.05, 0.2 + random.nextDouble()};
          cancel(id);
          for (double delay : delays) {
            cluster.clock.schedule(delay, () -> polls.poll(id));
            cluster.clock.schedule(delay, () -> polls.repeatSubmission(id, jobs.body(id)));
          }
        });
  }
}
