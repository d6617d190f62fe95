package org.ternhinge.heartbeat;

import java.util.List;
import org.ternhinge.attempt.AgentStatusSink;
import org.ternhinge.attempt.HigherTermCheck;
import org.ternhinge.attempt.MessageOrigin;
import org.ternhinge.heartbeat.HeartbeatResult.Answered;
import org.ternhinge.heartbeat.HeartbeatResult.NotAnswered;
import org.ternhinge.ledger.Authority;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;

/**
 * Processes the heartbeats of workers. The steps are:
 *
 * <ol>
 *   <li>fence check: a higher fencing token ends the leadership;
 *   <li>admission: a machine or epoch that is held to be gone gets no answer;
 *   <li>update of the machine and its attempts, by {@link AgentStatusUpdater}, unless a newer
 *       status has overtaken the heartbeat;
 *   <li>check whether the worker has received the answer before;
 *   <li>renewal of the lease;
 *   <li>commands for the answer, by {@link HeartbeatCommands}.
 * </ol>
 *
 * <p>An answer renews the lease of the worker that receives it. A heartbeat that gets none is a
 * late copy, which no worker waits for, or it shows that the evidence was wrong; then the expiry of
 * the lease is what stops the tasks. Guarded by the controller's lock.
 */
public final class HeartbeatProcessor {
  private static final Answered WITHOUT_COMMANDS = new Answered(List.of());

  private final Clock clock;
  private final Authority authority;
  private final HigherTermCheck higherTermCheck;
  private final MachineRegistry machines;
  private final AgentStatusSink statusUpdater;
  private final ReachabilityMonitor reachability;
  private final LeaseRenewal leases;
  private final HeartbeatCommands commands;

  /**
   * Creates a processor.
   *
   * @param statusUpdater applies the status that a heartbeat carries
   */
  public HeartbeatProcessor(
      LeadershipContext context,
      MachineRegistry machines,
      AgentStatusSink statusUpdater,
      ReachabilityMonitor reachability) {
    this.clock = context.services().clock();
    this.authority = context.authority();
    this.higherTermCheck = new HigherTermCheck(authority);
    this.machines = machines;
    this.statusUpdater = statusUpdater;
    this.reachability = reachability;
    this.leases = new LeaseRenewal(context.services());
    this.commands = new HeartbeatCommands(context.ledger());
  }

  /**
   * Processes a heartbeat.
   *
   * @param mayCommand whether commands may be given; otherwise an answer only renews the lease
   */
  public HeartbeatResult process(Heartbeat heartbeat, boolean mayCommand) {
    MonotonicTime now = clock.now();
    if (higherTermCheck.endsLeadership(heartbeat)) {
      return NotAnswered.HIGHER_TERM;
    }
    if (machines.wasRemoved(heartbeat.machine())) {
      return NotAnswered.MACHINE_REMOVED;
    }
    Machine machine = machines.findOrAdd(heartbeat.machine(), now);
    if (machine.cloud().isTerminated()) {
      return NotAnswered.MACHINE_TERMINATED;
    }
    if (isEpochEnded(machine, heartbeat)) {
      // The heartbeat was delayed by a network cut, as a rule, so the worker may be about to come
      // back: its machine is not given up for a lease more.
      leases.renewFrom(machine, now);
      return NotAnswered.EPOCH_ENDED;
    }
    return switch (statusUpdater.apply(machine, heartbeat, MessageOrigin.HEARTBEAT, now)) {
      case OUTDATED -> answerOutdated(machine, mayCommand);
      case APPLIED -> answerCurrent(machine, heartbeat, mayCommand, now);
    };
  }

  private static boolean isEpochEnded(Machine machine, Heartbeat heartbeat) {
    return heartbeat.epoch().compareTo(machine.agent().epoch()) < 0
        || machine.agent().hasEnded(heartbeat.epoch());
  }

  /**
   * Answers a heartbeat that is a copy, or was overtaken by the response to a command and so was
   * sent before that response was received. The tasks that it shows are outdated, but a worker that
   * receives the answer must not miss a stop.
   */
  private HeartbeatResult answerOutdated(Machine machine, boolean mayCommand) {
    leases.renewFrom(machine, machine.agent().lastHeartbeat());
    return mayCommand ? answered(commands.stops(machine)) : WITHOUT_COMMANDS;
  }

  private HeartbeatResult answerCurrent(
      Machine machine, Heartbeat heartbeat, boolean mayCommand, MonotonicTime now) {
    if (hasMissedAnswer(machine, heartbeat)) {
      reachability.answerMissed(machine, now);
    }
    machine.agent().answeredIn(authority.term());
    // The worker sent it before now, so a lease counted from now ends no sooner than the worker's.
    leases.renewFrom(machine, now);
    return mayCommand ? answered(commands.commands(machine, heartbeat)) : WITHOUT_COMMANDS;
  }

  /** Whether the worker was answered in this term and does not show it. */
  private boolean hasMissedAnswer(Machine machine, Heartbeat heartbeat) {
    return heartbeat.fencingToken().compareTo(authority.term()) < 0
        && machine.agent().wasAnsweredIn(authority.term());
  }

  private static HeartbeatResult answered(List<Command> commands) {
    return commands.isEmpty() ? WITHOUT_COMMANDS : new Answered(commands);
  }
}
