package org.ternhinge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobSpec;

/**
 * Users' submissions, which are repeated until they are accepted or their time is over, and those
 * that wait for the jobs that they name.
 */
final class UserSubmissions {
  /** For so long a submission is repeated, as the protocol has it. */
  private static final double REPEATED_FOR_S = 60;

  private static final double REPEATED_AFTER_S = 1;

  /** In place of a delay: submitted as soon as all that it names is accepted. */
  private static final double AS_SOON_AS_ACCEPTED = -1;

  /**
   * A submission that waits for the jobs that it names.
   *
   * @param delayS so many seconds after all of them are over; negative: as soon as all are accepted
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
    JobSpec spec = Specs.of(body);
    cluster.jobs.add(spec, dependencies(body));
    jobs.submitted(spec, body);
    send(UserRequests.submission(body), spec);
  }

  private void send(Request request, JobSpec spec) {
    cluster.controllers.user(request, answer -> answered(request, spec, answer));
  }

  private void answered(Request request, JobSpec spec, Response answer) {
    int status = answer == null ? 0 : answer.status();
    double now = cluster.clock.seconds();
    if (status == 200 || status == 201) {
      jobs.accepted(spec);
      submitPending();
    } else if (status == 400 || status == 422) {
      jobs.violation("refused: " + spec.id() + " with " + status);
    } else if (now < jobs.submittedAt(spec.id()) + REPEATED_FOR_S) {
      cluster.clock.after(REPEATED_AFTER_S, () -> send(request, spec));
    }
  }

  /** The jobs that a submission names. */
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

  /** Submits what has waited for nothing but this. */
  void submitPending() {
    for (Pending waiting : List.copyOf(pending)) {
      if (isReady(waiting) && pending.remove(waiting)) {
        cluster.clock.after(Math.max(0, waiting.delayS), () -> submit(waiting.body));
      }
    }
  }

  private boolean isReady(Pending waiting) {
    return waiting.dependencies.stream()
        .allMatch(id -> jobs.isAccepted(id) && (!waiting.waitsForEnds() || jobs.hasFinalState(id)));
  }
}
