package org.ternhinge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/** Users that submit, query, cancel and repeat at all controllers as the protocol prescribes. */
final class SoakUsers {
  private static final double QUERY_TIMEOUT_S = 2;
  private static final double WRITE_TIMEOUT_S = 5;
  private static final double RETRY_S = 1;
  private static final double QUERY_INTERVAL_S = 1.5;
  private static final double MIN_SUBMIT_INTERVAL_S = 0.4;
  private static final double SUBMIT_INTERVAL_SPREAD_S = 0.6;
  private static final double CANCEL_SHARE = 0.25;
  private static final double MAX_CANCEL_DELAY_S = 8;
  private static final double REPEAT_SHARE = 0.1;
  private static final int MAX_TASKS = 4;

  /** IDs from here on are never submitted. */
  private static final int FIRST_UNKNOWN_ID = 900_000;

  private final List<Integer> ports;
  private final SoakHistory history;
  private final double runS;
  private final ScheduledExecutorService timers;
  private final SplittableRandom random;
  private final Map<JobId, byte[]> submissions = new ConcurrentHashMap<>();
  private final HttpClient client;
  private int lastId;
  private volatile boolean submitting = true;
  private volatile boolean stopped;

  /**
   * Creates users that do nothing yet.
   *
   * @param ports the controllers' ports for users
   * @param runS how long each task runs
   */
  SoakUsers(
      List<Integer> ports,
      SoakHistory history,
      double runS,
      ScheduledExecutorService timers,
      SplittableRandom random) {
    this.ports = ports;
    this.history = history;
    this.runS = runS;
    this.timers = timers;
    this.random = random;
    this.client =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(timers).build();
  }

  void start() {
    submitNext();
    queryAll();
  }

  /** Ends submissions; queries go on. */
  void stopSubmitting() {
    submitting = false;
  }

  void stop() {
    stopped = true;
  }

  private static double now() {
    return System.nanoTime() / 1e9;
  }

  private void after(double seconds, Runnable action) {
    if (!stopped) {
      var unused = timers.schedule(action, (long) (seconds * 1e6), TimeUnit.MICROSECONDS);
    }
  }

  private synchronized double nextDouble() {
    return random.nextDouble();
  }

  private synchronized int nextInt(int bound) {
    return random.nextInt(bound);
  }

  private void submitNext() {
    if (!submitting) {
      return;
    }
    JobId job = new JobId(String.format("wk-%06d", ++lastId));
    int tasks = 1 + nextInt(MAX_TASKS);
    byte[] body =
        SubmissionBuilder.job(job.value(), "batch", tasks).cpus(2.0).runsFor(runS).bytes();
    history.recordSubmitted(job, tasks);
    submissions.put(job, body);
    submit(job);
    if (nextDouble() < CANCEL_SHARE) {
      after(nextDouble() * MAX_CANCEL_DELAY_S, () -> cancelOnceAccepted(job));
    }
    after(MIN_SUBMIT_INTERVAL_S + nextDouble() * SUBMIT_INTERVAL_SPREAD_S, this::submitNext);
  }

  private void submit(JobId job) {
    send(
        nextInt(ports.size()),
        job,
        post("/submissions", submissions.get(job)),
        (status, state) -> {
          if (status != 200 && status != 201) {
            after(RETRY_S, () -> submit(job));
          }
        });
  }

  private void cancelOnceAccepted(JobId job) {
    if (history.accepted().contains(job)) {
      history.recordCancelRequested(job);
      cancel(job);
    } else {
      after(RETRY_S, () -> cancelOnceAccepted(job));
    }
  }

  private void cancel(JobId job) {
    send(
        nextInt(ports.size()),
        job,
        post("/submissions/" + job + "/cancel", new byte[0]),
        (status, state) -> {
          if (status != 200) {
            after(RETRY_S, () -> cancel(job));
          }
        });
  }

  /** Queries unfinished jobs at all controllers and finished ones at one, and repeats some. */
  private void queryAll() {
    for (JobId job : history.accepted()) {
      boolean ended = history.isEnded(job);
      int only = nextInt(ports.size());
      for (int i = 0; i < ports.size(); i++) {
        if (!ended || i == only) {
          query(i, job);
        }
      }
      if (nextDouble() < REPEAT_SHARE) {
        send(only, job, post("/submissions", submissions.get(job)), (status, state) -> {});
      }
    }
    query(
        nextInt(ports.size()),
        new JobId("wk-" + (FIRST_UNKNOWN_ID + nextInt(FIRST_UNKNOWN_ID / 10))));
    after(QUERY_INTERVAL_S, this::queryAll);
  }

  private void query(int controller, JobId job) {
    PathRequest request =
        new PathRequest(
            "GET", "/submissions/" + job, HttpRequest.BodyPublishers.noBody(), QUERY_TIMEOUT_S);
    send(controller, job, request, (status, state) -> {});
  }

  /** A request without its address. */
  private record PathRequest(
      String method, String path, HttpRequest.BodyPublisher body, double timeoutS) {}

  private static PathRequest post(String path, byte[] body) {
    return new PathRequest(
        "POST", path, HttpRequest.BodyPublishers.ofByteArray(body), WRITE_TIMEOUT_S);
  }

  private void send(
      int controller, JobId job, PathRequest request, BiConsumer<Integer, String> callback) {
    double sentAt = now();
    HttpRequest message =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + ports.get(controller) + request.path()))
            .timeout(Duration.ofMillis((long) (request.timeoutS() * 1000)))
            .method(request.method(), request.body())
            .build();
    var unused =
        client
            .sendAsync(message, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8))
            .whenComplete(
                (response, failure) -> {
                  int status = response == null ? 0 : response.statusCode();
                  String state = response == null ? "" : stateIn(response.body());
                  if (!stopped) {
                    history.recordResponse(job, status, state, sentAt, now());
                    callback.accept(status, state);
                  }
                });
  }

  private static String stateIn(String body) {
    try {
      JsonNode json = Json.parse(body.getBytes(StandardCharsets.UTF_8));
      return json.path("astand").asText("");
    } catch (WireException e) {
      return "";
    }
  }
}
