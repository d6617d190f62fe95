package org.ternhinge.sim;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.random.RandomGenerator;
import org.ternhinge.model.JobId;

/**
 * Requests that a careful user would not send: repeats of a known job with other fields, cancels of
 * jobs that are done, malformed and impossible submissions. Each has one right answer; a controller
 * that can't decide may always answer 503.
 */
final class InvalidRequests {
  private static final int MALFORMED = 400;
  private static final int TOO_LARGE = 413;
  private static final int IMPOSSIBLE = 422;

  /** As many names as fit into a request body. */
  private static final int MOST_NAMES = 4000;

  private static final int ABBREVIATED_LENGTH = 80;
  private static final String DEPENDENCIES = "bidur_eftir";

  /** A job that nobody submits. */
  private static final String UNKNOWN_JOB = "wk-700000";

  private static final List<String> REQUIRED_FIELDS =
      List.of("ref", "eigandi", "gerd", "forgang", "verkbitar", "cpus", "memory_gb", "mynd");

  private final SimCluster cluster;
  private final UserJobs jobs;
  private final UserPolls polls;
  private final RandomGenerator random;
  private int made;

  InvalidRequests(SimCluster cluster, UserJobs jobs, UserPolls polls, RandomGenerator random) {
    this.cluster = cluster;
    this.jobs = jobs;
    this.polls = polls;
    this.random = random;
  }

  /** Sends one of them, other than those about dependencies. */
  void send() {
    switch (random.nextInt(3)) {
      case 0 -> repeatSomeUnfinished();
      case 1 -> cancelSomeDone();
      default -> submitImpossible();
    }
  }

  private <T> T some(List<T> from) {
    return from.get(random.nextInt(from.size()));
  }

  // ---- known jobs -----------------------------------------------------------------------------

  private void repeatSomeUnfinished() {
    List<JobId> unfinished =
        jobs.accepted().stream().filter(id -> !UserJobs.isFinal(jobs.lastState(id))).toList();
    if (unfinished.isEmpty()) {
      return;
    }
    JobId id = some(unfinished);
    ObjectNode body = jobs.body(id).deepCopy();
    switch (random.nextInt(4)) {
      case 0 -> body.put("verkbitar", 1 + random.nextInt(50));
      case 1 -> body.put("cpus", 4000.0);
      case 2 -> body.remove("eigandi");
      default -> {}
    }
    polls.repeatSubmission(id, body);
  }

  private void cancelSomeDone() {
    List<JobId> done =
        jobs.accepted().stream().filter(id -> UserJobs.DONE.equals(jobs.lastState(id))).toList();
    if (done.isEmpty()) {
      return;
    }
    JobId id = some(done);
    cluster.controllers.user(
        UserRequests.cancellation(id),
        UserRequests.ifDecided(
            answer -> {
              if (answer.status() == 200) {
                jobs.answered(id, UserRequests.state(answer), UserJobs.DONE);
              } else {
                jobs.violation("forgotten: cancel of " + id + " answered " + answer.status());
              }
            }));
  }

  // ---- malformed and impossible jobs ----------------------------------------------------------

  private void submitImpossible() {
    ObjectNode body = Specs.json(String.format("wk-9%05d", ++made), "batch", 2);
    int expected = IMPOSSIBLE;
    switch (random.nextInt(6)) {
      case 0 -> body.put("cpus", 4000.0);
      case 1 -> body.put("eigandi", "nobody");
      case 2 -> body.put("gerd", "daemon").put("verkbitar", 90_000);
      default -> {
        expected = MALFORMED;
        body.remove(some(REQUIRED_FIELDS));
      }
    }
    int status = expected;
    cluster.controllers.user(
        UserRequests.submission(body),
        UserRequests.ifDecided(
            answer -> {
              if (answer.status() != status) {
                jobs.violation(
                    "invalid: " + body + " answered " + answer.status() + " and not " + status);
              }
            }));
  }

  // ---- dependencies ---------------------------------------------------------------------------

  /** Sends a submission with invalid names of other jobs. */
  void sendInvalidDependencies() {
    String id = String.format("wk-8%05d", ++made);
    ObjectNode body = Specs.json(id, "batch", 2);
    // Of a service that has ended only the end record is stored, and users never depend on one.
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
      // The protocol leaves open which of these statuses it is.
      submitWithNames(body, List.of(MALFORMED, TOO_LARGE, IMPOSSIBLE), null);
    } else if (kind == 7) {
      if (!services.isEmpty()) {
        JobId service = some(services);
        body.putArray(DEPENDENCIES).add(service.value());
        submitWithNames(body, List.of(IMPOSSIBLE), service);
      }
    } else {
      putUnknownNames(body, id, kind);
      submitWithNames(body, List.of(IMPOSSIBLE), null);
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
    for (int i = 0; i < MOST_NAMES; i++) {
      names.add("wk-7" + String.format("%05d", i));
    }
  }

  /** Names of the job itself, or of a job that nobody submitted, alone or beside a known one. */
  private void putUnknownNames(ObjectNode body, String own, int kind) {
    ArrayNode names = body.putArray(DEPENDENCIES).add(kind == 5 ? own : UNKNOWN_JOB);
    List<JobId> others =
        jobs.accepted().stream().filter(job -> !jobs.spec(job).isService()).toList();
    if (kind == 8 && !others.isEmpty()) {
      names.add(some(others).value());
    }
  }

  /**
   * Submits a job that has to be refused.
   *
   * @param service the service that it names, or null; once that is over, any answer is right
   */
  private void submitWithNames(ObjectNode body, List<Integer> allowed, JobId service) {
    cluster.controllers.user(
        UserRequests.submission(body),
        UserRequests.ifDecided(
            answer -> {
              boolean overByNow = service != null && jobs.cancelRequested(service);
              if (!overByNow && !allowed.contains(answer.status())) {
                jobs.violation("invalid: " + abbreviated(body) + " answered " + answer.status());
              }
            }));
  }

  private static String abbreviated(ObjectNode body) {
    String names = body.path(DEPENDENCIES).toString();
    String first = names.substring(0, Math.min(ABBREVIATED_LENGTH, names.length()));
    return body.path("ref").asText() + " after " + first;
  }
}
