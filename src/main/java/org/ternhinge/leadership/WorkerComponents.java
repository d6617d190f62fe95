package org.ternhinge.leadership;

import org.ternhinge.attempt.AgentStatusSink;
import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.attempt.AttemptStatusUpdater;
import org.ternhinge.attempt.CommandDispatcher;
import org.ternhinge.attempt.FencingTokens;
import org.ternhinge.attempt.MessageOrigin;
import org.ternhinge.attempt.StartFence;
import org.ternhinge.heartbeat.AgentStatusUpdater;
import org.ternhinge.heartbeat.FirstHeartbeatHandler;
import org.ternhinge.heartbeat.HeartbeatProcessor;
import org.ternhinge.heartbeat.LeaseMonitor;
import org.ternhinge.heartbeat.ReachabilityMonitor;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.Heartbeat;

/**
 * The components that communicate with workers: commands, heartbeats, leases, and the task attempts
 * that depend on them.
 */
final class WorkerComponents {
  final CommandDispatcher dispatcher;
  final AttemptLifecycle attempts;
  final AgentStatusUpdater statusUpdater;
  final HeartbeatProcessor heartbeats;
  final LeaseMonitor leaseMonitor;

  WorkerComponents(LeadershipContext context, MachineComponents fleet) {
    FencingTokens tokens = new FencingTokens(context.authority(), context.writer());
    StartFence startFence = new StartFence(tokens, context.services().metrics());
    dispatcher = new CommandDispatcher(context, tokens, this::applyStatus);
    attempts = new AttemptLifecycle(context, fleet.machines, dispatcher, fleet.zones);
    ReachabilityMonitor reachability = new ReachabilityMonitor(fleet.machines, context.rounds());
    statusUpdater = createStatusUpdater(context, fleet, attempts, reachability);
    heartbeats =
        new HeartbeatProcessor(
            context, fleet.machines, statusUpdater, reachability, tokens, startFence);
    leaseMonitor =
        new LeaseMonitor(
            context, fleet.machines, attempts, fleet.reportedTaskCounts, dispatcher, startFence);
  }

  private static AgentStatusUpdater createStatusUpdater(
      LeadershipContext context,
      MachineComponents fleet,
      AttemptLifecycle attempts,
      ReachabilityMonitor reachability) {
    AttemptStatusUpdater attemptUpdater =
        new AttemptStatusUpdater(
            attempts,
            context.ledger(),
            fleet.machineTypes,
            fleet.failures,
            context.services().metrics());
    return new AgentStatusUpdater(
        context,
        reachability,
        fleet.reportedTaskCounts,
        attemptUpdater,
        attempts,
        new FirstHeartbeatHandler(context, fleet.provisioner, fleet.bootTimes));
  }

  /**
   * Applies the status report in a command response. The dispatcher needs a sink when it is
   * created, but the status updater depends on the dispatcher and is created later.
   */
  private AgentStatusSink.Result applyStatus(
      Machine machine, Heartbeat status, MessageOrigin origin, MonotonicTime now) {
    return statusUpdater.apply(machine, status, origin, now);
  }
}
