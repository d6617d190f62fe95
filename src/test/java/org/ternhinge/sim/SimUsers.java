package org.ternhinge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
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
  public void submit(ObjectNode body) {
    submissions.submit(body);
  }

  /** Submits a job as soon as all that it names are accepted. */
  public void submitAfterNamed(ObjectNode body) {
    submissions.submitAfterNamed(body);
  }

  /** Submits a job so many seconds after all that it names are over. */
  public void submitLate(ObjectNode body, double lateS) {
    submissions.submitLate(body, lateS);
  }

  /** Counts a job as accepted although nobody here has submitted it, since it did so long ago. */
  public void hadAccepted(JobSpec spec) {
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
  public void quiet() {
    quietSince = cluster.clock.seconds();
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
  public void pollEverywhere(JobId id) {
    polls.pollEverywhere(id);
  }

  /** The state that a job's user was told last, or null. */
  public String lastTold(JobId id) {
    return jobs.lastTold(id);
  }

  // ---- cancellations --------------------------------------------------------------------------

  /** Asks to cancel a job until that is answered, unless it was asked before. */
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
  public void cancelAtEnd(double share) {
    cancellations.cancelAtEnd(share);
  }

  /** Whether a user has asked to cancel a job. */
  public boolean cancelAsked(JobId id) {
    return jobs.cancelAsked(id);
  }

  /** Whether a job may be cancelled by now, for itself or with a dependency. */
  public boolean mayBeCancelled(JobId id) {
    return jobs.mayBeCancelled(id);
  }

  /** Whether a job has to be cancelled: it is, or a dependency is. */
  public boolean hasToBeCancelled(JobId id) {
    return jobs.hasToBeCancelled(id);
  }

  // ---- invalid requests -----------------------------------------------------------------------

  /** Sends one of the requests that a careful user would not send. */
  public void sendInvalidRequest() {
    invalidRequests.send();
  }

  /** Sends a submission with invalid names of other jobs, which has to be refused at once. */
  public void sendInvalidDependencies() {
    invalidRequests.sendDependencies();
  }
}
