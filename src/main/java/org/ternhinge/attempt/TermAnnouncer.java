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
 * Announces this leadership's term to workers that have not sent it a heartbeat. Such a worker may
 * still send its heartbeats to an earlier leader that is cut off from everything else; once it has
 * seen the new term it refuses that leader. Guarded by the controller's lock.
 */
public final class TermAnnouncer {
  private static final Logger LOG = LoggerFactory.getLogger(TermAnnouncer.class);

  /** The first message may be refused for its epoch; the refusal names the current one. */
  private static final int MAX_ATTEMPTS = 2;

  private final Authority authority;
  private final CommandDispatcher dispatcher;
  private final AgentStatusSink statusSink;
  private final Clock clock;

  /**
   * Creates an announcer of the authority's term.
   *
   * @param statusSink receives the status that each response carries
   */
  public TermAnnouncer(
      Authority authority, CommandDispatcher dispatcher, AgentStatusSink statusSink, Clock clock) {
    this.authority = authority;
    this.dispatcher = dispatcher;
    this.statusSink = statusSink;
    this.clock = clock;
  }

  /**
   * Announces the term to a machine's worker, if the cloud lists the machine as running and the
   * worker has not sent a heartbeat.
   *
   * @return whether an announcement was made
   */
  public boolean announce(Machine machine, ListedMachine listed) {
    if (machine.agent().isHeard()
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
      LOG.warn("machine {} is listed without a usable endpoint", machine.id());
      return Optional.empty();
    }
  }

  private void send(Machine machine, Endpoint endpoint, AgentEpoch epoch, int attemptsLeft) {
    if (authority.valid()) {
      dispatcher.announceTerm(
          endpoint, epoch, outcome -> answered(machine, endpoint, outcome, attemptsLeft));
    }
  }

  private void answered(
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
        && answer.heartbeat().fencingToken().compareTo(authority.term()) <= 0;
  }
}
