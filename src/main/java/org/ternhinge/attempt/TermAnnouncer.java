package org.ternhinge.attempt;

import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Authority;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.ListedMachine;
import org.ternhinge.worker.WorkerClient;

/**
 * Announces the current term to workers that have not sent a heartbeat to this leader. Such a
 * worker may still be sending heartbeats to an earlier leader that is otherwise partitioned. Once
 * it has seen the new term, it rejects commands of the earlier leader. Guarded by the controller's
 * lock.
 */
public final class TermAnnouncer {
  private static final Logger LOG = LoggerFactory.getLogger(TermAnnouncer.class);

  /** The first message may be refused for a wrong epoch; the refusal contains the current one. */
  private static final int MAX_ATTEMPTS = 2;

  private final Authority authority;
  private final CommandDispatcher dispatcher;
  private final AgentStatusSink statusSink;
  private final Clock clock;

  /**
   * Creates an announcer for the authority's term.
   *
   * @param statusSink receives the status report in each response
   */
  public TermAnnouncer(
      Authority authority, CommandDispatcher dispatcher, AgentStatusSink statusSink, Clock clock) {
    this.authority = authority;
    this.dispatcher = dispatcher;
    this.statusSink = statusSink;
    this.clock = clock;
  }

  /**
   * Announces the term to the worker on a machine if the cloud lists the machine as running and the
   * worker has not sent a heartbeat.
   *
   * @return whether an announcement was sent
   */
  public boolean announce(Machine machine, ListedMachine listed) {
    if (machine.agent().hasReported()
        || listed.state() != ListedMachine.State.RUNNING
        || listed.endpoint().isEmpty()) {
      return false;
    }
    Optional<Endpoint> endpoint = endpointOf(machine, listed);
    endpoint.ifPresent(worker -> send(machine, worker, machine.agent().epoch(), MAX_ATTEMPTS));
    return endpoint.isPresent();
  }

  private static Optional<Endpoint> endpointOf(Machine machine, ListedMachine listed) {
    try {
      return Optional.of(Endpoint.parse(listed.endpoint().orElseThrow()));
    } catch (IllegalArgumentException e) {
      LOG.warn("machine {}: invalid endpoint in the cloud's machine list", machine.id());
      return Optional.empty();
    }
  }

  private void send(Machine machine, Endpoint endpoint, AgentEpoch epoch, int attemptsLeft) {
    if (authority.isValid()) {
      dispatcher.announceTerm(
          machine,
          endpoint,
          epoch,
          outcome -> handleResponse(machine, endpoint, outcome, attemptsLeft));
    }
  }

  private void handleResponse(
      Machine machine, Endpoint endpoint, Outcome<WorkerClient.Answer> outcome, int attemptsLeft) {
    if (!(outcome instanceof Outcome.Applied<WorkerClient.Answer> applied)) {
      return;
    }
    Heartbeat status = applied.value().heartbeat();
    statusSink.apply(machine, status, MessageOrigin.COMMAND_RESPONSE, clock.now());
    if (isRefusedForEpoch(applied.value()) && attemptsLeft > 1) {
      send(machine, endpoint, status.epoch(), attemptsLeft - 1);
    }
  }

  private boolean isRefusedForEpoch(WorkerClient.Answer answer) {
    return answer instanceof WorkerClient.Answer.Refused
        && answer.heartbeat().fencingToken().compareTo(authority.lastToken()) <= 0;
  }
}
