package org.ternhinge.heartbeat;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.attempt.AbsentAttemptReconciler;
import org.ternhinge.attempt.AbsentAttemptReconciler.Finding;
import org.ternhinge.attempt.AgentStatusSink;
import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.attempt.AttemptStatusUpdater;
import org.ternhinge.attempt.MessageOrigin;
import org.ternhinge.machine.AgentState;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineDescription;
import org.ternhinge.machine.ReportedTasks;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.Heartbeat;

/**
 * Applies the status reports of worker agents to machines and attempts, in the order in which each
 * worker sent them. A report that is no newer than the last one is ignored. If the reported tasks
 * are unchanged, the only cost is one comparison of the task lists. Guarded by the controller's
 * lock.
 */
public final class AgentStatusUpdater implements AgentStatusSink {
  private static final Logger LOG = LoggerFactory.getLogger(AgentStatusUpdater.class);

  private final List<String> zones;
  private final ReachabilityMonitor reachability;
  private final ReportedTasks reportedTasks;
  private final AttemptStatusUpdater attemptUpdater;
  private final AbsentAttemptReconciler absentAttempts;
  private final AgentEpochChange epochChange;
  private final FirstHeartbeatHandler firstHeartbeats;
  private final ReclaimNoticeHandler reclaimNotices;

  /**
   * Creates an updater.
   *
   * @param attemptUpdater updates the open attempts from the reported tasks
   * @param attempts stops and closes attempts
   */
  public AgentStatusUpdater(
      LeadershipContext context,
      ReachabilityMonitor reachability,
      ReportedTasks reportedTasks,
      AttemptStatusUpdater attemptUpdater,
      AttemptLifecycle attempts,
      FirstHeartbeatHandler firstHeartbeats) {
    this.zones = context.services().settings().zones();
    this.reachability = reachability;
    this.reportedTasks = reportedTasks;
    this.attemptUpdater = attemptUpdater;
    this.absentAttempts =
        new AbsentAttemptReconciler(attempts, context.authority(), context.ledger());
    this.epochChange =
        new AgentEpochChange(
            context.ledger(), attempts, reachability, new LeaseRenewal(context.services()));
    this.firstHeartbeats = firstHeartbeats;
    this.reclaimNotices = new ReclaimNoticeHandler(context.ledger(), attempts);
  }

  @Override
  public Result apply(Machine machine, Heartbeat status, MessageOrigin origin, MonotonicTime now) {
    if (machine.agent().isOutdated(status)) {
      return Result.OUTDATED;
    }
    updateEpochAndSequence(machine, status, now);
    updateFencingToken(machine, status);
    updateDescription(machine, status);
    updateLastHeard(machine, now);
    updateEndpoint(machine, status);
    reclaimNotices.handle(machine, status, now);
    updateTasks(machine, status, now);
    reconcileAbsentAttempts(machine, status, origin, now);
    return Result.APPLIED;
  }

  private void updateEpochAndSequence(Machine machine, Heartbeat status, MonotonicTime now) {
    AgentState agent = machine.agent();
    if (status.epoch().compareTo(agent.epoch()) > 0) {
      epochChange.begin(machine, status.epoch(), now);
    }
    agent.setSequence(status.sequence());
  }

  private static void updateFencingToken(Machine machine, Heartbeat status) {
    machine.agent().observeFencingToken(status.fencingToken());
    machine.outstandingStarts().observeFencingToken(status.fencingToken());
  }

  private void updateDescription(Machine machine, Heartbeat status) {
    if (!machine.description().matches(status.type(), status.zone(), status.spot())) {
      machine.setDescription(
          MachineDescription.of(status.type(), status.zone(), status.spot(), zones));
    }
  }

  private void updateLastHeard(Machine machine, MonotonicTime now) {
    boolean first = !machine.agent().hasReported();
    machine.agent().recordMessage(now);
    if (first) {
      firstHeartbeats.handle(machine, now);
    }
  }

  private static void updateEndpoint(Machine machine, Heartbeat status) {
    try {
      machine.agent().setEndpoint(status.endpoint());
    } catch (IllegalArgumentException e) {
      LOG.warn("machine {}: invalid endpoint in status report", machine.id());
    }
  }

  private void updateTasks(Machine machine, Heartbeat status, MonotonicTime now) {
    if (!machine.tasks().equals(status.tasks())) {
      reportedTasks.update(machine, status.tasks());
      attemptUpdater.applyReportedTasks(machine, status, now);
    }
  }

  private void reconcileAbsentAttempts(
      Machine machine, Heartbeat status, MessageOrigin origin, MonotonicTime now) {
    if (absentAttempts.reconcile(machine, status, origin) == Finding.RESPONSE_MISSED) {
      reachability.recordMissedResponse(machine, now);
    }
  }
}
