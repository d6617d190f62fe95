package org.ternhinge.heartbeat;

import java.util.List;
import org.ternhinge.attempt.AgentStatusSink;
import org.ternhinge.attempt.FencingTokens;
import org.ternhinge.attempt.HigherTermCheck;
import org.ternhinge.attempt.MessageOrigin;
import org.ternhinge.attempt.StartFence;
import org.ternhinge.heartbeat.HeartbeatResult.Accepted;
import org.ternhinge.heartbeat.HeartbeatResult.Rejected;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;

/**
 * Processes worker heartbeats. The steps are:
 *
 * <ol>
 *   <li>fence check: a higher fencing token ends the leadership;
 *   <li>admission: heartbeats from removed or terminated machines and from ended epochs get no
 *       response;
 *   <li>update of the machine and its attempts by {@link AgentStatusUpdater}, unless a newer status
 *       report has been applied already;
 *   <li>check whether the worker has received the previous response;
 *   <li>lease renewal;
 *   <li>selection of the commands for the response by {@link HeartbeatCommands}.
 * </ol>
 *
 * <p>A response renews the lease of the worker that receives it. A heartbeat without a response is
 * either a delayed duplicate, for which no worker is waiting, or it proves that the machine or
 * epoch was wrongly considered ended. In the latter case the tasks are stopped by the expiry of the
 * lease. Guarded by the controller's lock.
 */
public final class HeartbeatProcessor {
  private final Clock clock;
  private final Authority authority;
  private final HigherTermCheck higherTermCheck;
  private final MachineRegistry machines;
  private final AgentStatusSink statusUpdater;
  private final ReachabilityMonitor reachability;
  private final LeaseRenewal leases;
  private final FencingTokens tokens;
  private final StartFence startFence;
  private final Ledger ledger;
  private final HeartbeatCommands commands;

  /**
   * Creates a processor.
   *
   * @param statusUpdater applies the status report in a heartbeat
   * @param tokens the fencing tokens of the responses
   * @param startFence decides which attempts a worker may forget
   */
  public HeartbeatProcessor(
      LeadershipContext context,
      MachineRegistry machines,
      AgentStatusSink statusUpdater,
      ReachabilityMonitor reachability,
      FencingTokens tokens,
      StartFence startFence) {
    this.clock = context.services().clock();
    this.authority = context.authority();
    this.higherTermCheck = new HigherTermCheck(authority);
    this.machines = machines;
    this.statusUpdater = statusUpdater;
    this.reachability = reachability;
    this.leases = new LeaseRenewal(context.services());
    this.tokens = tokens;
    this.startFence = startFence;
    this.ledger = context.ledger();
    this.commands = new HeartbeatCommands(context, startFence);
  }

  /**
   * Processes a heartbeat.
   *
   * @param mayCommand whether commands may be sent; otherwise, a response only renews the lease
   */
  public HeartbeatResult process(Heartbeat heartbeat, boolean mayCommand) {
    MonotonicTime now = clock.now();
    if (higherTermCheck.endsLeadership(heartbeat)) {
      return Rejected.HIGHER_TERM;
    }
    if (machines.wasRemoved(heartbeat.machine())) {
      return Rejected.MACHINE_REMOVED;
    }
    Machine machine = machines.findOrAdd(heartbeat.machine(), now);
    if (machine.cloud().isTerminated()) {
      return Rejected.MACHINE_TERMINATED;
    }
    if (isEpochEnded(machine, heartbeat)) {
      // Usually the heartbeat was delayed by a network partition, and the worker may be about to
      // reconnect, so its machine is not considered lost for another lease.
      leases.renewFrom(machine, now);
      return Rejected.EPOCH_ENDED;
    }
    return switch (statusUpdater.apply(machine, heartbeat, MessageOrigin.HEARTBEAT, now)) {
      case OUTDATED -> respondToOutdated(machine, mayCommand);
      case APPLIED -> respondToCurrent(machine, heartbeat, mayCommand, now);
    };
  }

  private static boolean isEpochEnded(Machine machine, Heartbeat heartbeat) {
    return heartbeat.epoch().compareTo(machine.agent().epoch()) < 0
        || machine.agent().hasEnded(heartbeat.epoch());
  }

  /**
   * Responds to a heartbeat that is a duplicate or was overtaken by a command response. It was sent
   * before the latest status report was received, so the lease is renewed as of that time. The
   * reported tasks are outdated and ignored, but the response must still contain the stops that are
   * due.
   */
  private HeartbeatResult respondToOutdated(Machine machine, boolean mayCommand) {
    leases.renewFrom(machine, machine.agent().lastMessageAt());
    return accepted(machine, mayCommand ? commands.stops(machine) : List.of());
  }

  private HeartbeatResult respondToCurrent(
      Machine machine, Heartbeat heartbeat, boolean mayCommand, MonotonicTime now) {
    if (hasMissedResponse(machine, heartbeat)) {
      reachability.recordMissedResponse(machine, now);
    }
    machine.agent().recordAnswer(authority.term());
    // The worker counts its lease from when it sent the heartbeat, so this one ends no earlier.
    leases.renewFrom(machine, now);
    return accepted(machine, mayCommand ? nextCommands(machine, heartbeat, now) : List.of());
  }

  private List<Command> nextCommands(Machine machine, Heartbeat heartbeat, MonotonicTime now) {
    startFence.fenceStopped(machine, ledger.attemptsOn(machine.id()), now);
    return commands.commands(machine, heartbeat);
  }

  /** Whether the worker was sent a response in this term but does not report the term. */
  private boolean hasMissedResponse(Machine machine, Heartbeat heartbeat) {
    return heartbeat.fencingToken().compareTo(authority.term()) < 0
        && machine.agent().wasAnsweredIn(authority.term());
  }

  private HeartbeatResult accepted(Machine machine, List<Command> selected) {
    startFence.verify(machine, selected);
    return new Accepted(tokens.tokenOf(machine), selected);
  }
}
