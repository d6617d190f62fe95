package org.ternhinge.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.api.SubmissionRejection;
import org.ternhinge.api.SubmissionValidator;
import org.ternhinge.config.Settings;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.DependencyCheckResult;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * Handles submissions: parses and validates them, then decides which node is to write the job.
 * Submissions are idempotent: for a job that was accepted before, the response is its state,
 * whatever the body of the repeated request contains. All methods run under the controller's lock.
 */
public final class SubmissionHandler {
  private final Settings settings;
  private final LeadershipRole role;
  private final BootstrapMachineTypes machineTypes;
  private final SubmissionWriter writer;
  private final SubmissionForwarder forwarder;
  private final NodeConnectivity connectivity;

  /**
   * Creates a handler.
   *
   * @param machineTypes the types against which jobs are validated; the response to submissions is
   *     503 until they are loaded
   * @param writer writes jobs to the key-value store
   * @param forwarder forwards jobs to other nodes if this one can't write them
   */
  public SubmissionHandler(
      Settings settings,
      LeadershipRole role,
      BootstrapMachineTypes machineTypes,
      SubmissionWriter writer,
      SubmissionForwarder forwarder,
      NodeConnectivity connectivity) {
    this.settings = settings;
    this.role = role;
    this.machineTypes = machineTypes;
    this.writer = writer;
    this.forwarder = forwarder;
    this.connectivity = connectivity;
  }

  /**
   * Handles a submission; the callback is called exactly once, immediately or later. A submission
   * from a user may be forwarded to another node; one from another node is not forwarded again.
   */
  public void handle(Request request, RequestOrigin origin, Consumer<Response> responseCallback) {
    Optional<JobSpec> valid = validate(request, responseCallback);
    if (valid.isEmpty()) {
      return;
    }
    if (origin == RequestOrigin.PEER) {
      Optional<DependencyCheckResult> verdict = DependentSubmissionPath.verdictIn(request.path());
      writer.accept(valid.get(), verdict, SubmissionFallback.returnToPeer(), responseCallback);
    } else {
      acceptFromUser(valid.get(), request, responseCallback);
    }
  }

  /**
   * Returns the job if it may be accepted; otherwise empty, and the callback receives the response.
   */
  private Optional<JobSpec> validate(Request request, Consumer<Response> responseCallback) {
    JsonNode body;
    JobId id;
    try {
      body = Json.parse(request.body());
      id = JobSpec.readId(body);
    } catch (WireException e) {
      responseCallback.accept(Responses.error(Responses.BAD_REQUEST, e.getMessage()));
      return Optional.empty();
    }
    Optional<JobState> known = role.valid().flatMap(leadership -> leadership.findState(id));
    if (known.isPresent()) {
      responseCallback.accept(Responses.existingJob(known.get()));
      return Optional.empty();
    }
    return validate(body, id, responseCallback);
  }

  private Optional<JobSpec> validate(JsonNode body, JobId id, Consumer<Response> responseCallback) {
    JobSpec spec;
    try {
      spec = JobSpec.read(body);
    } catch (WireException e) {
      Response malformed = Responses.error(Responses.BAD_REQUEST, e.getMessage());
      writer.respondWithKnownStateOr(malformed, id, responseCallback);
      return Optional.empty();
    }
    if (machineTypes.isEmpty()) {
      writer.respondWithKnownStateOr(Responses.busy(), id, responseCallback);
      return Optional.empty();
    }
    Optional<SubmissionRejection> rejection =
        SubmissionValidator.validate(spec, settings, machineTypes.byName());
    if (rejection.isPresent()) {
      Response rejected = Responses.error(Responses.UNPROCESSABLE, rejection.get().message());
      writer.respondWithKnownStateOr(rejected, id, responseCallback);
      return Optional.empty();
    }
    return Optional.of(spec);
  }

  private void acceptFromUser(JobSpec spec, Request request, Consumer<Response> responseCallback) {
    boolean dependent = !spec.dependencies().isEmpty();
    Optional<String> leader = dependent ? role.otherLeaderWithDependencies() : role.otherLeader();
    SubmissionFallback anyNode =
        (verdict, callback) -> forwarder.forward(leader, request, dependent, verdict, callback);
    if (connectivity.isStoreUnresponsive()) {
      forwardFirst(spec, anyNode, responseCallback);
    } else if (dependent && leader.isPresent() && !forwarder.isUnresponsive(leader.get())) {
      askLeaderFirst(spec, leader.get(), request, responseCallback);
    } else {
      writer.accept(spec, Optional.empty(), anyNode, responseCallback);
    }
  }

  /**
   * Forwards before writing: a write by this node would only wait for its time-out, whereas other
   * nodes may still reach the key-value store.
   */
  private void forwardFirst(
      JobSpec spec, SubmissionFallback anyNode, Consumer<Response> responseCallback) {
    anyNode.forward(
        Optional.empty(),
        Responses.divertBusy(
            responseCallback,
            busy ->
                writer.accept(
                    spec, Optional.empty(), SubmissionFallback.none(), responseCallback)));
  }

  /**
   * Asks the leader first, since it has the dependencies in memory and this node would have to read
   * them. If the leader accepts the job but its response is lost, the write by this node finds the
   * job's record.
   */
  private void askLeaderFirst(
      JobSpec spec, String leader, Request request, Consumer<Response> responseCallback) {
    SubmissionFallback followers =
        (verdict, callback) -> forwarder.forwardToFollowers(leader, request, verdict, callback);
    forwarder.askLeader(
        leader,
        request,
        Responses.divertBusy(
            responseCallback,
            busy ->
                writer.accept(
                    spec, DependencyCheckResult.read(busy.body()), followers, responseCallback)));
  }
}
