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
 * Takes submissions: reads and judges them, then decides which node is to write the job. A job that
 * is known already is answered with its state, however its repeat looks. All methods run under the
 * controller's lock.
 */
public final class SubmissionHandler {
  private final Settings settings;
  private final LeadershipRole role;
  private final BootstrapMachineTypes machineTypes;
  private final SubmissionWriter writer;
  private final SubmissionRelay relay;
  private final NodeConnectivity connectivity;

  public SubmissionHandler(
      Settings settings,
      LeadershipRole role,
      BootstrapMachineTypes machineTypes,
      SubmissionWriter writer,
      SubmissionRelay relay,
      NodeConnectivity connectivity) {
    this.settings = settings;
    this.role = role;
    this.machineTypes = machineTypes;
    this.writer = writer;
    this.relay = relay;
    this.connectivity = connectivity;
  }

  /** Takes a submission from a user; another node may be asked to write it. */
  public void takeFromUser(Request request, Consumer<Response> answer) {
    judge(request, answer).ifPresent(spec -> placeFromUser(spec, request, answer));
  }

  /** Takes a submission from another node, and does not pass it on again. */
  public void takeFromPeer(Request request, Consumer<Response> answer) {
    Optional<DependencyVerdict> verdict = SubmissionRelay.verdictIn(request.path());
    judge(request, answer)
        .ifPresent(spec -> writer.accept(spec, verdict, SubmissionFallback.backToPeer(), answer));
  }

  /** Returns the job if it is one to be written; otherwise it is answered. */
  private Optional<JobSpec> judge(Request request, Consumer<Response> answer) {
    JsonNode body;
    JobId id;
    try {
      body = Json.parse(request.body());
      id = JobSpec.readId(body);
    } catch (WireException e) {
      answer.accept(Responses.error(Responses.BAD_REQUEST, e.getMessage()));
      return Optional.empty();
    }
    Optional<JobState> known = role.valid().map(leadership -> leadership.stateOf(id));
    if (known.isPresent()) {
      answer.accept(Responses.known(known.get()));
      return Optional.empty();
    }
    return judge(body, id, answer);
  }

  private Optional<JobSpec> judge(JsonNode body, JobId id, Consumer<Response> answer) {
    JobSpec spec;
    try {
      spec = JobSpec.read(body);
    } catch (WireException e) {
      Response malformed = Responses.error(Responses.BAD_REQUEST, e.getMessage());
      writer.answerIfKnown(id, malformed, answer);
      return Optional.empty();
    }
    if (machineTypes.isEmpty()) {
      writer.answerIfKnown(id, Responses.busy(), answer);
      return Optional.empty();
    }
    Optional<SubmissionRejection> rejection =
        SubmissionValidator.reject(spec, settings, machineTypes.byName());
    if (rejection.isPresent()) {
      Response refusal = Responses.error(Responses.UNPROCESSABLE, rejection.get().message());
      writer.answerIfKnown(id, refusal, answer);
      return Optional.empty();
    }
    return Optional.of(spec);
  }

  private void placeFromUser(JobSpec spec, Request request, Consumer<Response> answer) {
    boolean dependent = !spec.dependencies().isEmpty();
    Optional<String> leader = dependent ? role.otherLeaderWithDependencies() : role.otherLeader();
    SubmissionFallback everyone =
        (verdict, then) -> relay.offer(leader, request, dependent, verdict, then);
    if (connectivity.storeSilent()) {
      offerFirst(spec, everyone, answer);
    } else if (dependent && leader.isPresent() && !relay.isSilent(leader.get())) {
      askLeaderFirst(spec, leader.get(), request, answer);
    } else {
      writer.accept(spec, Optional.empty(), everyone, answer);
    }
  }

  /** An own write would only wait for its time-out; others may still reach the key-value store. */
  private void offerFirst(JobSpec spec, SubmissionFallback everyone, Consumer<Response> answer) {
    everyone.offer(
        Optional.empty(),
        response -> {
          if (Responses.isBusy(response)) {
            writer.accept(spec, Optional.empty(), SubmissionFallback.nobody(), answer);
          } else {
            answer.accept(response);
          }
        });
  }

  /**
   * The leader knows from memory what this node would have to read. If its answer is lost and it
   * has accepted the job, the record is found to stand already.
   */
  private void askLeaderFirst(
      JobSpec spec, String leader, Request request, Consumer<Response> answer) {
    SubmissionFallback allButLeader =
        (verdict, then) -> relay.offerToFollowers(leader, request, verdict, then);
    relay.askLeader(
        leader,
        request,
        response -> {
          if (Responses.isBusy(response)) {
            writer.accept(spec, DependencyVerdict.read(response.body()), allButLeader, answer);
          } else {
            answer.accept(response);
          }
        });
  }
}
