package org.ternhinge.heartbeat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.attempt.ClosingEvidence;
import org.ternhinge.attempt.CommandDispatcher;
import org.ternhinge.attempt.StartFence;
import org.ternhinge.config.Settings;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.ReportedTasks;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.TaskStatus;

/**
 * Checks the expiry of worker leases, machine reservations and the grace periods of stopping
 * attempts. A worker whose lease has expired has killed its tasks; for an unreachable worker, this
 * is the only evidence that its attempts have ended. Guarded by the controller's lock.
 */
public final class LeaseMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseMonitor.class);

  private final Settings.WorkerTimings workerSettings;
  private final Ledger ledger;
  private final MachineRegistry machines;
  private final AttemptLifecycle attempts;
  private final ReportedTasks reportedTasks;
  private final CommandDispatcher dispatcher;
  private final StartFence startFence;
  private final RoundTrigger rounds;

  /**
   * Creates a monitor for a set of machines.
   *
   * @param dispatcher probes workers that may be unreachable for commands
   * @param startFence raises the fencing tokens of probes if an attempt can then be closed
   */
  public LeaseMonitor(
      LeadershipContext context,
      MachineRegistry machines,
      AttemptLifecycle attempts,
      ReportedTasks reportedTasks,
      CommandDispatcher dispatcher,
      StartFence startFence) {
    this.workerSettings = context.services().settings().workers();
    this.ledger = context.ledger();
    this.machines = machines;
    this.attempts = attempts;
    this.reportedTasks = reportedTasks;
    this.dispatcher = dispatcher;
    this.startFence = startFence;
    this.rounds = context.rounds();
  }

  /**
   * Whether a worker's lease may be renewed while no commands may be sent. It must not be renewed
   * if the worker has an open attempt that is stopping or whose job is cancelled, or reports a task
   * without an attempt: without commands, only the expiry of the lease stops these tasks.
   */
  public boolean mayRenewWithoutCommands(Heartbeat heartbeat) {
    return !hasAttemptToStop(heartbeat) && !reportsTaskWithoutAttempt(heartbeat);
  }

  private boolean hasAttemptToStop(Heartbeat heartbeat) {
    for (Attempt attempt : ledger.attemptsOn(heartbeat.machine())) {
      if (attempt.isStopRequested() || attempt.job().isCancelled()) {
        return true;
      }
    }
    return false;
  }

  private boolean reportsTaskWithoutAttempt(Heartbeat heartbeat) {
    for (TaskStatus task : heartbeat.tasks()) {
      if (!task.ended() && !ledger.hasOpenAttempt(task, heartbeat.machine())) {
        return true;
      }
    }
    return false;
  }

  /** Checks all machines. Called periodically while the leadership is valid. */
  public void check(MonotonicTime now) {
    for (Machine machine : List.copyOf(machines.all())) {
      expireReservations(machine, now);
      probeIfUnreachable(machine, now);
      Collection<Attempt> open = ledger.attemptsOn(machine.id());
      if (open.isEmpty() && machine.tasks().isEmpty()) {
        continue;
      }
      if (machine.agent().isLeaseExpired(now)) {
        // Also without attempts: a delayed heartbeat may report tasks that have none, and tasks
        // are not started elsewhere while they are reported.
        expireLease(machine, List.copyOf(open));
      } else {
        repeatOverdueStops(stoppingAttempts(open), now);
      }
    }
  }

  private void expireReservations(Machine machine, MonotonicTime now) {
    if (machine.removeExpiredReservations(now)) {
      rounds.requestRound();
    }
  }

  /** Probes a worker that may be unreachable for commands; a response proves that it is not. */
  private void probeIfUnreachable(Machine machine, MonotonicTime now) {
    if (machine.agent().hasEndpoint()
        && !machine.outbox().isInFlight()
        && dispatcher.hasFreeSlot()
        && machine.health().reachability().isProbeDue(now)) {
      startFence.fenceStopped(machine, ledger.attemptsOn(machine.id()), now);
      dispatcher.probe(machine, now);
    }
  }

  /** Closes the attempts of a worker that has killed its tasks because its lease expired. */
  private void expireLease(Machine machine, List<Attempt> open) {
    LOG.info("machine {}: worker lease expired", machine.id());
    AgentEpoch lastEpoch = machine.agent().epoch();
    for (Attempt attempt : open) {
      if (attempt.epoch().compareTo(lastEpoch) > 0) {
        lastEpoch = attempt.epoch();
      }
      attempts.close(attempt, ClosingEvidence.LEASE_EXPIRED);
    }
    machine.agent().endEpochsUpTo(lastEpoch);
    machine.outstandingStarts().clear();
    machine.outbox().clear();
    // Otherwise, its tasks would still count as reported and could not be started elsewhere.
    reportedTasks.update(machine, List.of());
  }

  /** Returns a copy, since stopping an attempt may modify the ledger's own collection. */
  private static List<Attempt> stoppingAttempts(Collection<Attempt> open) {
    List<Attempt> stopping = List.of();
    for (Attempt attempt : open) {
      if (attempt.isStopRequested()) {
        // Allocated on demand: this runs for all machines, and most have none.
        stopping = stopping.isEmpty() ? new ArrayList<>() : stopping;
        stopping.add(attempt);
      }
    }
    return stopping;
  }

  private void repeatOverdueStops(List<Attempt> stopping, MonotonicTime now) {
    for (Attempt attempt : stopping) {
      if (isStopOverdue(attempt, now)) {
        attempts.stop(attempt, 0);
      }
    }
  }

  /**
   * Whether an attempt has not stopped in time. The grace period is extended by the time until the
   * tasks of a gang learn that their peers are checkpointing and until the next heartbeat reports
   * it.
   */
  private boolean isStopOverdue(Attempt attempt, MonotonicTime now) {
    double allowedS =
        attempt.stopGraceS() + workerSettings.gangPeerS() + workerSettings.heartbeatIntervalS();
    return attempt.stopGraceS() > 0
        && now.secondsSince(attempt.stopRequest().orElseThrow().requestedAt()) > allowedS;
  }
}
