package org.ternhinge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobSpec;

/**
 * Submissions of users, which are retried until accepted or timed out, and submissions that wait
 * for their dependencies.
 */
final class UserSubmissions {
  /** Time for which a submission is retried as the protocol prescribes, in seconds. */
  private static final double RETRY_PERIOD_S = 60;

  private static final double RETRY_DELAY_S = 1;

  /** Replaces the delay of a job that is submitted as soon as all its dependencies are accepted. */
  private static final double AS_SOON_AS_ACCEPTED = -1;

  /**
   * A submission that waits for its dependencies.
   *
   * @param delayS seconds after all dependencies have ended; if negative, as soon as all are
   *     accepted
   */
  private record Pending(ObjectNode body, List<JobId> dependencies, double delayS) {
    boolean waitsForEnds() {
      return delayS >= 0;
    }
  }

  private final SimCluster cluster;
  private final UserJobs jobs;
  private final List<Pending> pending = new ArrayList<>();

  UserSubmissions(SimCluster cluster, UserJobs jobs) {
    this.cluster = cluster;
    this.jobs = jobs;
  }

  void submit(ObjectNode body) {
    JobSpec spec = SubmissionJson.parse(body);
    cluster.jobs.add(spec, dependencies(body));
    jobs.recordSubmitted(spec, body);
    send(UserRequests.submission(body), spec);
  }

  private void send(Request request, JobSpec spec) {
    cluster.controllers.user(request, answer -> answered(request, spec, answer));
  }

  private void answered(Request request, JobSpec spec, Response answer) {
    int status = answer == null ? 0 : answer.status();
    double now = cluster.clock.seconds();
    if (status == 200 || status == 201) {
      jobs.recordAccepted(spec);
      submitPending();
    } else if (status == 400 || status == 422) {
      jobs.recordViolation("refused: " + spec.id() + " with " + status);
    } else if (now < jobs.submittedAt(spec.id()) + RETRY_PERIOD_S) {
      cluster.clock.schedule(RETRY_DELAY_S, () -> send(request, spec));
    }
  }

  /** The dependencies that a submission names. */
  static List<JobId> dependencies(ObjectNode body) {
    List<JobId> out = new ArrayList<>();
    body.path("bidur_eftir").forEach(name -> out.add(new JobId(name.asText())));
    return out;
  }

  void submitAfterDependencies(ObjectNode body) {
    pending.add(new Pending(body, dependencies(body), AS_SOON_AS_ACCEPTED));
    submitPending();
  }

  void submitAfterEnds(ObjectNode body, double delayS) {
    pending.add(new Pending(body, dependencies(body), delayS));
    submitPending();
  }

  /** Submits pending jobs that are ready. */
  void submitPending() {
    for (Pending waiting : List.copyOf(pending)) {
      if (isReady(waiting) && pending.remove(waiting)) {
        cluster.clock.schedule(Math.max(0, waiting.delayS), () -> submit(waiting.body));
      }
    }
  }

  private boolean isReady(Pending waiting) {
    return waiting.dependencies.stream()
        .allMatch(id -> jobs.isAccepted(id) && (!waiting.waitsForEnds() || jobs.hasFinalState(id)));
  }
}
