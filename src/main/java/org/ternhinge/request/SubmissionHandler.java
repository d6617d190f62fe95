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
import org.ternhinge.wire.DependencyVerdict;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * Answers submissions: parses and validates them, then decides which node is to write the job. A
 * submission is an idempotent request: a job that was accepted before is answered with its state,
 * whatever the body of the repeated request says. All methods run under the controller's lock.
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
   * @param machineTypes what jobs are validated against; submissions get 503 until they are loaded
   * @param writer writes jobs to the key-value store
   * @param forwarder hands jobs to other nodes where this one can't write them
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
   * Answers a submission, now or later, exactly once. Another node may be asked to write the job of
   * a user; what another node has forwarded is not forwarded again.
   */
  public void handle(Request request, RequestOrigin origin, Consumer<Response> answer) {
    Optional<JobSpec> valid = validate(request, answer);
    if (valid.isEmpty()) {
      return;
    }
    if (origin == RequestOrigin.PEER) {
      Optional<DependencyVerdict> verdict = DependentSubmissionPath.verdictIn(request.path());
      writer.accept(valid.get(), verdict, SubmissionFallback.backToPeer(), answer);
    } else {
      acceptFromUser(valid.get(), request, answer);
    }
  }

  /** Returns the job if it may be accepted; otherwise the request is answered here. */
  private Optional<JobSpec> validate(Request request, Consumer<Response> answer) {
    JsonNode body;
    JobId id;
    try {
      body = Json.parse(request.body());
      id = JobSpec.readId(body);
    } catch (WireException e) {
      answer.accept(Responses.error(Responses.BAD_REQUEST, e.getMessage()));
      return Optional.empty();
    }
    Optional<JobState> known = role.valid().flatMap(leadership -> leadership.stateOf(id));
    if (known.isPresent()) {
      answer.accept(Responses.known(known.get()));
      return Optional.empty();
    }
    return validate(body, id, answer);
  }

  private Optional<JobSpec> validate(JsonNode body, JobId id, Consumer<Response> answer) {
    JobSpec spec;
    try {
      spec = JobSpec.read(body);
    } catch (WireException e) {
      Response malformed = Responses.error(Responses.BAD_REQUEST, e.getMessage());
      writer.answerKnownOr(malformed, id, answer);
      return Optional.empty();
    }
    if (machineTypes.isEmpty()) {
      writer.answerKnownOr(Responses.busy(), id, answer);
      return Optional.empty();
    }
    Optional<SubmissionRejection> rejection =
        SubmissionValidator.validate(spec, settings, machineTypes.byName());
    if (rejection.isPresent()) {
      Response rejected = Responses.error(Responses.UNPROCESSABLE, rejection.get().message());
      writer.answerKnownOr(rejected, id, answer);
      return Optional.empty();
    }
    return Optional.of(spec);
  }

  private void acceptFromUser(JobSpec spec, Request request, Consumer<Response> answer) {
    boolean dependent = !spec.dependencies().isEmpty();
    Optional<String> leader = dependent ? role.otherLeaderWithDependencies() : role.otherLeader();
    SubmissionFallback anyNode =
        (verdict, then) -> forwarder.forward(leader, request, dependent, verdict, then);
    if (connectivity.isStoreUnresponsive()) {
      forwardFirst(spec, anyNode, answer);
    } else if (dependent && leader.isPresent() && !forwarder.isUnresponsive(leader.get())) {
      askLeaderFirst(spec, leader.get(), request, answer);
    } else {
      writer.accept(spec, Optional.empty(), anyNode, answer);
    }
  }

  /** An own write would only wait for its time-out; others may still reach the key-value store. */
  private void forwardFirst(JobSpec spec, SubmissionFallback anyNode, Consumer<Response> answer) {
    anyNode.forward(
        Optional.empty(),
        Responses.ifBusy(
            answer,
            busy -> writer.accept(spec, Optional.empty(), SubmissionFallback.none(), answer)));
  }

  /**
   * The leader has the dependencies in memory, which this node would have to read. If its answer is
   * lost although it has accepted the job, the write here finds the job's record.
   */
  private void askLeaderFirst(
      JobSpec spec, String leader, Request request, Consumer<Response> answer) {
    SubmissionFallback followers =
        (verdict, then) -> forwarder.forwardToFollowers(leader, request, verdict, then);
    forwarder.askLeader(
        leader,
        request,
        Responses.ifBusy(
            answer,
            busy -> writer.accept(spec, DependencyVerdict.read(busy.body()), followers, answer)));
  }
}
