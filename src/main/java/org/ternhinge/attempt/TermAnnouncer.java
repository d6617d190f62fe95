package org.ternhinge.attempt;

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
import org.ternhinge.worker.Workers;

/**
 * Tells workers that have not reported yet of this leadership's term. Such a worker may still
 * report to an earlier leader that is cut off from everything else; having seen this term it turns
 * away from it. Guarded by the controller's lock.
 */
public final class TermAnnouncer {
  private static final Logger LOG = LoggerFactory.getLogger(TermAnnouncer.class);

  /** The first command may be refused for its epoch; the refusal names the right one. */
  private static final int MAX_TRIES = 2;

  private final Authority authority;
  private final CommandDispatcher dispatcher;
  private final AgentStatusSink heartbeats;
  private final Clock clock;

  public TermAnnouncer(
      Authority authority, CommandDispatcher dispatcher, AgentStatusSink heartbeats, Clock clock) {
    this.authority = authority;
    this.dispatcher = dispatcher;
    this.heartbeats = heartbeats;
    this.clock = clock;
  }

  /**
   * Tells a machine's worker of the term, if it is up and has not reported.
   *
   * @return whether it was told
   */
  public boolean announce(Machine machine, ListedMachine listed) {
    if (machine.agent().isHeard()
        || listed.state() != ListedMachine.State.RUNNING
        || listed.endpoint() == null) {
      return false;
    }
    Endpoint endpoint;
    try {
      endpoint = Endpoint.parse(listed.endpoint());
    } catch (IllegalArgumentException e) {
      LOG.warn("machine {} is listed without a usable endpoint", machine.id());
      return false;
    }
    send(machine, endpoint, machine.agent().epoch(), MAX_TRIES);
    return true;
  }

  private void send(Machine machine, Endpoint endpoint, AgentEpoch epoch, int triesLeft) {
    if (authority.valid()) {
      dispatcher.announceTerm(
          endpoint, epoch, outcome -> answered(machine, endpoint, outcome, triesLeft));
    }
  }

  private void answered(
      Machine machine, Endpoint endpoint, Outcome<Workers.Answer> outcome, int triesLeft) {
    if (!(outcome instanceof Outcome.Applied<Workers.Answer> applied)) {
      return;
    }
    Heartbeat heartbeat = applied.value().heartbeat();
    heartbeats.take(machine, heartbeat, false, clock.now());
    if (applied.value() instanceof Workers.Answer.Refused
        && heartbeat.fencingToken().compareTo(authority.term()) <= 0
        && triesLeft > 1) {
      send(machine, endpoint, heartbeat.epoch(), triesLeft - 1);
    }
  }
}
