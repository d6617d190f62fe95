package org.ternhinge.sim;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.random.RandomGenerator;
import org.ternhinge.model.JobId;

/**
 * Requests that a well-behaved client would not send: repeated submissions of a known job with
 * other fields, cancellations of jobs that are done, and malformed or unsatisfiable submissions.
 * The answer to each is determined, except that a controller that cannot decide may always answer
 * 503.
 */
final class InvalidRequests {
  private static final int MALFORMED = 400;
  private static final int TOO_LARGE = 413;
  private static final int UNSATISFIABLE = 422;

  /** The number of names that fills a request body. */
  private static final int MAX_NAMES = 4000;

  private static final int ABBREVIATED_LENGTH = 80;
  private static final String DEPENDENCIES = "bidur_eftir";

  /** The name of a job that is never submitted. */
  private static final String UNKNOWN_JOB = "wk-700000";

  private static final List<String> REQUIRED_FIELDS =
      List.of("ref", "eigandi", "gerd", "forgang", "verkbitar", "cpus", "memory_gb", "mynd");

  private final SimCluster cluster;
  private final UserJobs jobs;
  private final UserPolls polls;
  private final RandomGenerator random;
  private int created;

  InvalidRequests(SimCluster cluster, UserJobs jobs, UserPolls polls, RandomGenerator random) {
    this.cluster = cluster;
    this.jobs = jobs;
    this.polls = polls;
    this.random = random;
  }

  /** Sends a random invalid request, other than one about dependencies. */
  void send() {
    switch (random.nextInt(3)) {
      case 0 -> repeatRandomUnfinished();
      case 1 -> cancelRandomDone();
      default -> submitInvalid();
    }
  }

  private <T> T randomElement(List<T> from) {
    return from.get(random.nextInt(from.size()));
  }

  // ---- known jobs -----------------------------------------------------------------------------

  private void repeatRandomUnfinished() {
    List<JobId> unfinished =
        jobs.accepted().stream().filter(id -> !UserJobs.isFinal(jobs.lastState(id))).toList();
    if (unfinished.isEmpty()) {
      return;
    }
    JobId id = randomElement(unfinished);
    ObjectNode body = jobs.body(id).deepCopy();
    switch (random.nextInt(4)) {
      case 0 -> body.put("verkbitar", 1 + random.nextInt(50));
      case 1 -> body.put("cpus", 4000.0);
      case 2 -> body.remove("eigandi");
      default -> {}
    }
    polls.repeatSubmission(id, body);
  }

  private void cancelRandomDone() {
    List<JobId> done =
        jobs.accepted().stream().filter(id -> UserJobs.DONE.equals(jobs.lastState(id))).toList();
    if (done.isEmpty()) {
      return;
    }
    JobId id = randomElement(done);
    cluster.controllers.user(
        UserRequests.cancellation(id),
        UserRequests.ifDecided(
            answer -> {
              if (answer.status() == 200) {
                jobs.recordReportedState(id, UserRequests.state(answer), UserJobs.DONE);
              } else {
                jobs.recordViolation("forgotten: cancel of " + id + " answered " + answer.status());
              }
            }));
  }

  // ---- malformed and unsatisfiable jobs -------------------------------------------------------

  private void submitInvalid() {
    ObjectNode body = SubmissionJson.smallJob(String.format("wk-9%05d", ++created), "batch", 2);
    int expected = UNSATISFIABLE;
    switch (random.nextInt(6)) {
      case 0 -> body.put("cpus", 4000.0);
      case 1 -> body.put("eigandi", "nobody");
      case 2 -> body.put("gerd", "daemon").put("verkbitar", 90_000);
      default -> {
        expected = MALFORMED;
        body.remove(randomElement(REQUIRED_FIELDS));
      }
    }
    int status = expected;
    cluster.controllers.user(
        UserRequests.submission(body),
        UserRequests.ifDecided(
            answer -> {
              if (answer.status() != status) {
                jobs.recordViolation(
                    "invalid: " + body + " answered " + answer.status() + " and not " + status);
              }
            }));
  }

  // ---- dependencies ---------------------------------------------------------------------------

  /** Sends a submission with invalid dependencies. */
  void sendInvalidDependencies() {
    String id = String.format("wk-8%05d", ++created);
    ObjectNode body = SubmissionJson.smallJob(id, "batch", 2);
    // Only the end record of an ended service is stored, and users never depend on a service.
    List<JobId> services =
        jobs.accepted().stream()
            .filter(job -> jobs.spec(job).isService() && !jobs.cancelRequested(job))
            .toList();
    int kind = random.nextInt(10);
    if (kind <= 4) {
      putMalformedNames(body, kind);
      submitWithNames(body, List.of(MALFORMED), null);
    } else if (kind == 6) {
      putTooManyNames(body);
      // The protocol permits any of these statuses.
      submitWithNames(body, List.of(MALFORMED, TOO_LARGE, UNSATISFIABLE), null);
    } else if (kind == 7) {
      if (!services.isEmpty()) {
        JobId service = randomElement(services);
        body.putArray(DEPENDENCIES).add(service.value());
        submitWithNames(body, List.of(UNSATISFIABLE), service);
      }
    } else {
      putUnknownNames(body, id, kind);
      submitWithNames(body, List.of(UNSATISFIABLE), null);
    }
  }

  private static void putMalformedNames(ObjectNode body, int kind) {
    switch (kind) {
      case 0 -> body.put(DEPENDENCIES, "wk-000001");
      case 1 -> body.putObject(DEPENDENCIES).put("wk-000001", true);
      case 2 -> body.putArray(DEPENDENCIES).add("no id").add("wk-000001");
      case 3 -> body.putArray(DEPENDENCIES).add(17);
      default -> body.putArray(DEPENDENCIES).addNull();
    }
  }

  private static void putTooManyNames(ObjectNode body) {
    ArrayNode names = body.putArray(DEPENDENCIES);
    for (int i = 0; i < MAX_NAMES; i++) {
      names.add("wk-7" + String.format("%05d", i));
    }
  }

  /**
   * Adds the name of the job itself or of a job that was never submitted, alone or together with a
   * known one.
   */
  private void putUnknownNames(ObjectNode body, String own, int kind) {
    ArrayNode names = body.putArray(DEPENDENCIES).add(kind == 5 ? own : UNKNOWN_JOB);
    List<JobId> others =
        jobs.accepted().stream().filter(job -> !jobs.spec(job).isService()).toList();
    if (kind == 8 && !others.isEmpty()) {
      names.add(randomElement(others).value());
    }
  }

  /**
   * Submits a job that has to be rejected.
   *
   * @param service the service that it names, or null; once its cancellation is requested, any
   *     answer is valid
   */
  private void submitWithNames(ObjectNode body, List<Integer> allowed, JobId service) {
    cluster.controllers.user(
        UserRequests.submission(body),
        UserRequests.ifDecided(
            answer -> {
              boolean isServiceCancelled = service != null && jobs.cancelRequested(service);
              if (!isServiceCancelled && !allowed.contains(answer.status())) {
                jobs.recordViolation(
                    "invalid: " + abbreviated(body) + " answered " + answer.status());
              }
            }));
  }

  private static String abbreviated(ObjectNode body) {
    String names = body.path(DEPENDENCIES).toString();
    String first = names.substring(0, Math.min(ABBREVIATED_LENGTH, names.length()));
    return body.path("ref").asText() + " after " + first;
  }
}
