package org.ternhinge.sim;

import java.util.List;
import java.util.SplittableRandom;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobSpec;

/**
 * Users that submit, poll and cancel jobs as the protocol says. Every answer is checked against its
 * rules; what breaks one is among the cluster's violations.
 */
public final class SimUsers {
  /** A job about which nothing is answered for so long counts as forgotten. */
  private static final double FORGOTTEN_S = 75;

  private static final int SEED = 5;

  private static final double POLL_INTERVAL_S = 3;

  /** Far more than the rounding of times, far less than any interval. */
  private static final double TIME_TOLERANCE_S = 1e-6;

  private final SimCluster cluster;
  private final UserJobs jobs;
  private final UserSubmissions submissions;
  private final UserPolls polls;
  private final UserCancellations cancellations;
  private final InvalidRequests invalidRequests;
  private final StarvationCheck starvation;
  private double quietSince = Double.MAX_VALUE;

  /** Creates users of a cluster that have submitted nothing yet. */
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

  /** Submits a job, again and again until it is accepted. */
  public void submit(SubmissionBuilder job) {
    submissions.submit(job.json());
  }

  /** Submits a job as soon as all that it names are accepted. */
  public void submitAfterDependencies(SubmissionBuilder job) {
    submissions.submitAfterDependencies(job.json());
  }

  /** Submits a job so many seconds after all that it names are over. */
  public void submitAfterEnds(SubmissionBuilder job, double delayS) {
    submissions.submitAfterEnds(job.json(), delayS);
  }

  /** Counts a job as accepted that was submitted before the cluster began. */
  public void assumeAccepted(JobSpec spec) {
    jobs.accepted(spec);
  }

  /** The jobs that were accepted, in that order. */
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

  /** All faults are over: from now on every job has to be answered for in time. */
  public void expectTimelyAnswers() {
    quietSince = cluster.clock.seconds();
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
   * Asks about every accepted job, and notes those without an answer for too long and those that
   * wait too long beside free room.
   */
  public void pollAll() {
    submissions.submitPending();
    for (JobId id : accepted()) {
      double from = Math.max(quietSince, jobs.lastAnsweredAt(id));
      if (cluster.clock.seconds() - from > FORGOTTEN_S) {
        jobs.violation("forgotten: " + id + " has no answer since " + from);
      }
      polls.poll(id);
      if (cluster.clock.seconds() > quietSince && !mayBeCancelled(id)) {
        starvation.check(spec(id));
      }
    }
  }

  /** Asks every controller about a job, once it is accepted. */
  public void pollAllControllers(JobId id) {
    polls.pollAllControllers(id);
  }

  /** The last state with which a user's question about a job was answered, or null. */
  public String lastState(JobId id) {
    return jobs.lastState(id);
  }

  // ---- cancellations --------------------------------------------------------------------------

  /** Requests a cancellation until it is answered, unless it was requested before. */
  public void cancel(JobId id) {
    cancellations.cancel(id);
  }

  /**
   * Asks to cancel all services, those too whose acceptance was never answered: one of them may run
   * all the same, and would hold its team's limit for ever.
   */
  public void cancelServices() {
    jobs.submittedServices().forEach(cancellations::cancel);
  }

  /** Asks one controller to cancel a job; what follows runs as soon as the user has the answer. */
  public void cancelAt(int controller, JobId id, Runnable then) {
    cancellations.cancelAt(controller, id, then);
  }

  /**
   * For a share of jobs a cancellation, a poll and a repeated submission arrive at the very end of
   * the last task.
   */
  public void cancelAtCompletion(double share) {
    cancellations.cancelAtCompletion(share);
  }

  /** Whether a user has requested a job's cancellation. */
  public boolean cancelRequested(JobId id) {
    return jobs.cancelRequested(id);
  }

  /** Whether a job may be cancelled by now, for itself or with a dependency. */
  public boolean mayBeCancelled(JobId id) {
    return jobs.mayBeCancelled(id);
  }

  /** Whether a job has to be cancelled: it is, or a dependency is. */
  public boolean mustBeCancelled(JobId id) {
    return jobs.mustBeCancelled(id);
  }

  // ---- invalid requests -----------------------------------------------------------------------

  /** Sends one of the requests that a careful user would not send. */
  public void sendInvalidRequest() {
    invalidRequests.send();
  }

  /** Sends a submission with invalid names of other jobs, which has to be refused at once. */
  public void sendInvalidDependencies() {
    invalidRequests.sendInvalidDependencies();
  }
}
