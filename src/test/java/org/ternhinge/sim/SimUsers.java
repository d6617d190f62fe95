package org.ternhinge.sim;

import java.util.List;
import java.util.SplittableRandom;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobSpec;

/**
 * Users that submit, poll and cancel jobs as the protocol prescribes. Every response is checked
 * against the rules; violations are recorded in the cluster.
 */
public final class SimUsers {
  /** Time without a response after which a job counts as forgotten, in seconds. */
  private static final double FORGOTTEN_S = 75;

  private static final int SEED = 5;

  private static final double POLL_INTERVAL_S = 3;

  /** Larger than any rounding error of times and much smaller than any interval. */
  private static final double TIME_TOLERANCE_S = 1e-6;

  private final SimCluster cluster;
  private final UserJobs jobs;
  private final UserSubmissions submissions;
  private final UserPolls polls;
  private final UserCancellations cancellations;
  private final InvalidRequests invalidRequests;
  private final StarvationCheck starvation;
  private double timelyAnswersSince = Double.MAX_VALUE;

  /** Creates users of a cluster that have not submitted anything yet. */
  public SimUsers(SimCluster cluster) {
    this.cluster = cluster;
    SplittableRandom random = new SplittableRandom(SEED);
    this.jobs = new UserJobs(cluster);
    this.submissions = new UserSubmissions(cluster, jobs);
    this.polls = new UserPolls(cluster, jobs);
    this.cancellations = new UserCancellations(cluster, jobs, polls, random);
    this.invalidRequests = new InvalidRequests(cluster, jobs, polls, random);
    this.starvation = new StarvationCheck(cluster);
  }

  // ---- submissions ----------------------------------------------------------------------------

  /** Submits a job and retries until it is accepted. */
  public void submit(SubmissionBuilder job) {
    submissions.submit(job.json());
  }

  /** Submits a job as soon as all its dependencies are accepted. */
  public void submitAfterDependencies(SubmissionBuilder job) {
    submissions.submitAfterDependencies(job.json());
  }

  /** Submits a job the given number of seconds after all its dependencies have ended. */
  public void submitAfterEnds(SubmissionBuilder job, double delayS) {
    submissions.submitAfterEnds(job.json(), delayS);
  }

  /** Treats a job as accepted that was submitted before the cluster started. */
  public void assumeAccepted(JobSpec spec) {
    jobs.recordAccepted(spec);
  }

  /** The accepted jobs, in order of acceptance. */
  public List<JobId> accepted() {
    return jobs.accepted();
  }

  /** An accepted job. */
  public JobSpec spec(JobId id) {
    return jobs.spec(id);
  }

  /** When a job was first submitted, in seconds. */
  public double submittedAt(JobId id) {
    return jobs.submittedAt(id);
  }

  // ---- polls ----------------------------------------------------------------------------------

  /** Requires timely responses for every job from now on, since all faults have ended. */
  public void expectTimelyAnswers() {
    timelyAnswersSince = cluster.clock.seconds();
  }

  /** Advances the clock while users poll all their jobs, every three seconds and at the end. */
  public void runWithPolling(double seconds) {
    double end = cluster.clock.seconds() + seconds;
    while (cluster.clock.seconds() < end - TIME_TOLERANCE_S) {
      cluster.clock.runFor(Math.min(POLL_INTERVAL_S, end - cluster.clock.seconds()));
      pollAll();
    }
  }

  /**
   * Polls every accepted job, and records jobs that go without a response for too long or that wait
   * too long despite available capacity.
   */
  public void pollAll() {
    submissions.submitPending();
    for (JobId id : accepted()) {
      double from = Math.max(timelyAnswersSince, jobs.lastAnsweredAt(id));
      if (cluster.clock.seconds() - from > FORGOTTEN_S) {
        jobs.recordViolation("forgotten: " + id + " has no answer since " + from);
      }
      polls.poll(id);
      if (cluster.clock.seconds() > timelyAnswersSince && !mayBeCancelled(id)) {
        starvation.check(spec(id));
      }
    }
  }

  /** Polls a job at every controller, once it is accepted. */
  public void pollAllControllers(JobId id) {
    polls.pollAllControllers(id);
  }

  /** The job state in the last response to a user, or null. */
  public String lastState(JobId id) {
    return jobs.lastState(id);
  }

  // ---- cancellations --------------------------------------------------------------------------

  /** Requests a cancellation and retries until it is answered, unless one was requested before. */
  public void cancel(JobId id) {
    cancellations.cancel(id);
  }

  /**
   * Requests the cancellation of all services, including those whose submission was never answered:
   * such a service may run all the same, and would use the limit of its team for ever.
   */
  public void cancelServices() {
    jobs.submittedServices().forEach(cancellations::cancel);
  }

  /**
   * Requests a cancellation at one controller; the action runs as soon as the user has the
   * response.
   */
  public void cancelAt(int controller, JobId id, Runnable then) {
    cancellations.cancelAt(controller, id, then);
  }

  /**
   * For a share of jobs, sends a cancellation, polls and repeated submissions right at the end of
   * the last task.
   */
  public void cancelAtCompletion(double share) {
    cancellations.cancelAtCompletion(share);
  }

  /** Whether a user has requested a job's cancellation. */
  public boolean cancelRequested(JobId id) {
    return jobs.cancelRequested(id);
  }

  /** Whether a job may be cancelled by now, by itself or through a dependency. */
  public boolean mayBeCancelled(JobId id) {
    return jobs.mayBeCancelled(id);
  }

  /** Whether a job must be cancelled, because it or a dependency was reported as cancelled. */
  public boolean mustBeCancelled(JobId id) {
    return jobs.mustBeCancelled(id);
  }

  // ---- invalid requests -----------------------------------------------------------------------

  /** Sends a random invalid request, other than one about dependencies. */
  public void sendInvalidRequest() {
    invalidRequests.send();
  }

  /** Sends a submission with invalid dependencies, which has to be rejected at once. */
  public void sendInvalidDependencies() {
    invalidRequests.sendInvalidDependencies();
  }
}
