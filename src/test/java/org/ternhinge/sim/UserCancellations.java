package org.ternhinge.sim;

import java.util.random.RandomGenerator;
import org.ternhinge.http.Response;
import org.ternhinge.model.JobId;

/** Users' cancellations, which are repeated until they are answered. */
final class UserCancellations {
  private static final int REPEATS = 300;
  private static final double REPEATED_AFTER_S = 1;

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
      send(id, REPEATS);
    }
  }

  private void send(JobId id, int repeats) {
    boolean accepted = jobs.isAccepted(id);
    cluster.controllers.user(
        UserRequests.cancellation(id),
        answer -> {
          if (!accept(id, accepted, answer) && repeats > 0) {
            cluster.clock.after(REPEATED_AFTER_S, () -> send(id, repeats - 1));
          }
        });
  }

  /**
   * Requests a cancellation at one controller; the action runs as soon as the user has the answer.
   */
  void cancelAt(int controller, JobId id, Runnable then) {
    jobs.requestCancel(id);
    boolean accepted = jobs.isAccepted(id);
    cluster.controllers.user(
        controller,
        UserRequests.cancellation(id),
        answer -> {
          if (!accept(id, accepted, answer)) {
            cluster.clock.after(REPEATED_AFTER_S, () -> cancelAt(controller, id, then));
          } else if (answer.status() == 200) {
            then.run();
          }
        });
  }

  /**
   * Processes an answer; true if it decides the request.
   *
   * @param accepted whether the job was accepted when the request was sent; before that it is
   *     rightly not found, and the request is repeated
   */
  private boolean accept(JobId id, boolean accepted, Response answer) {
    if (answer != null && answer.status() == 200) {
      jobs.answered(id, UserRequests.state(answer), jobs.lastState(id));
      return true;
    }
    if (answer != null && answer.status() == 404 && accepted) {
      jobs.violation("forgotten: cancel of " + id + " answered 404");
      return true;
    }
    return false;
  }

  /**
   * For a share of jobs a cancellation, a poll and a repeated submission arrive at the very end of
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
            cluster.clock.after(delay, () -> polls.poll(id));
            cluster.clock.after(delay, () -> polls.repeatSubmission(id, jobs.body(id)));
          }
        });
  }
}
