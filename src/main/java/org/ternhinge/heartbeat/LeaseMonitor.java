package org.ternhinge.heartbeat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.attempt.ClosingEvidence;
import org.ternhinge.attempt.CommandDispatcher;
import org.ternhinge.attempt.TermFence;
import org.ternhinge.config.Settings;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.ReportedTasks;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.TaskStatus;

/**
 * Checks what expires: workers' leases, reservations of machines, and the grace of stopped
 * attempts. A worker whose lease has expired has killed its tasks, which is the only proof that its
 * attempts are over while it can't be reached. Guarded by the controller's lock.
 */
public final class LeaseMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseMonitor.class);

  private final Settings.WorkerTimings workerSettings;
  private final Ledger ledger;
  private final MachineRegistry machines;
  private final AttemptLifecycle attempts;
  private final ReportedTasks reportedTasks;
  private final CommandDispatcher dispatcher;
  private final TermFence termFence;
  private final RoundTrigger rounds;

  /**
   * Creates a monitor of these machines.
   *
   * @param dispatcher probes workers that commands seem not to reach
   */
  public LeaseMonitor(
      LeadershipContext context,
      MachineRegistry machines,
      AttemptLifecycle attempts,
      ReportedTasks reportedTasks,
      CommandDispatcher dispatcher,
      TermFence termFence) {
    this.workerSettings = context.services().settings().workers();
    this.ledger = context.ledger();
    this.machines = machines;
    this.attempts = attempts;
    this.reportedTasks = reportedTasks;
    this.dispatcher = dispatcher;
    this.termFence = termFence;
    this.rounds = context.rounds();
  }

  /**
   * Whether a worker's lease may be renewed while no commands may be given. Not while something on
   * it has to be stopped, for the expiry of the lease is then what stops it: an open attempt that
   * is stopped or cancelled, or a task that the ledger does not hold there.
   */
  public boolean mayRenewWithoutCommands(Heartbeat heartbeat) {
    return !hasAttemptToStop(heartbeat) && !showsTaskWithoutAttempt(heartbeat);
  }

  private boolean hasAttemptToStop(Heartbeat heartbeat) {
    for (Attempt attempt : ledger.attemptsOn(heartbeat.machine())) {
      if (attempt.stopping() || attempt.job().cancelled()) {
        return true;
      }
    }
    return false;
  }

  private boolean showsTaskWithoutAttempt(Heartbeat heartbeat) {
    for (TaskStatus task : heartbeat.tasks()) {
      if (!task.ended() && !ledger.holds(task, heartbeat.machine())) {
        return true;
      }
    }
    return false;
  }

  /** Checks all machines; called periodically while the leadership certainly holds. */
  public void check(SteadyTime now) {
    boolean fenceNeeded = false;
    for (Machine machine : List.copyOf(machines.all())) {
      expireReservations(machine, now);
      probeIfUnreachable(machine, now);
      Collection<Attempt> open = ledger.attemptsOn(machine.id());
      if (open.isEmpty() && machine.tasks().isEmpty()) {
        continue;
      }
      if (machine.agent().isLeaseExpired(now)) {
        // Also without attempts: a delayed heartbeat may show tasks that have none, and while they
        // are shown they may start nowhere else.
        expireLease(machine, List.copyOf(open));
      } else {
        List<Attempt> stopping = stoppingAttempts(open);
        repeatOverdueStops(stopping, now);
        fenceNeeded |= termFence.isNeededForAny(machine, stopping, now);
      }
    }
    if (fenceNeeded) {
      termFence.raise(now);
    }
  }

  private void expireReservations(Machine machine, SteadyTime now) {
    if (machine.expireReservations(now)) {
      rounds.requestRound();
    }
  }

  /** Probes a worker that commands seem not to reach: a response shows that they do. */
  private void probeIfUnreachable(Machine machine, SteadyTime now) {
    if (machine.agent().hasEndpoint()
        && !machine.outbox().isInFlight()
        && dispatcher.hasFreeSlot()
        && machine.health().reachability().isProbeDue(now)) {
      dispatcher.probe(machine, now);
    }
  }

  /** The worker has killed its tasks: nothing that it has shown runs any more. */
  private void expireLease(Machine machine, List<Attempt> open) {
    LOG.info("machine {}: worker lease expired", machine.id());
    AgentEpoch lastEpoch = machine.agent().epoch();
    for (Attempt attempt : open) {
      if (attempt.epoch().compareTo(lastEpoch) > 0) {
        lastEpoch = attempt.epoch();
      }
      attempts.close(attempt, ClosingEvidence.LEASE_EXPIRED);
    }
    machine.agent().endEpochs(lastEpoch);
    machine.outstandingStarts().clear();
    machine.outbox().clear();
    // Otherwise its tasks would count as still shown, and could not start elsewhere.
    reportedTasks.show(machine, List.of());
  }

  /** The attempts being stopped, as a copy, since a stop may change the ledger's own collection. */
  private static List<Attempt> stoppingAttempts(Collection<Attempt> open) {
    List<Attempt> stopping = List.of();
    for (Attempt attempt : open) {
      if (attempt.stopping()) {
        // Most machines have none, and this runs for all of them.
        stopping = stopping.isEmpty() ? new ArrayList<>() : stopping;
        stopping.add(attempt);
      }
    }
    return stopping;
  }

  private void repeatOverdueStops(List<Attempt> stopping, SteadyTime now) {
    for (Attempt attempt : stopping) {
      if (isStopOverdue(attempt, now)) {
        attempts.stop(attempt, 0);
      }
    }
  }

  /**
   * Whether a stop with grace was not carried out in time. Until a gang's tasks learn that their
   * peers are saving, and a heartbeat shows it, more time than the grace may pass.
   */
  private boolean isStopOverdue(Attempt attempt, SteadyTime now) {
    double allowedS =
        attempt.stopGraceS() + workerSettings.gangPeerS() + workerSettings.heartbeatIntervalS();
    return attempt.stopGraceS() > 0
        && now.secondsSince(attempt.stopRequest().orElseThrow().at()) > allowedS;
  }
}
