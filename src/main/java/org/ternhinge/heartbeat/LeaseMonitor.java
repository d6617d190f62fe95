package org.ternhinge.heartbeat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.attempt.AttemptLifecycle;
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
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.TaskStatus;

/**
 * Watches what runs out: workers' leases, reservations of machines, and the time that stopped
 * attempts were given. A worker whose lease has run out has killed what it ran, which is the only
 * proof that its attempts are gone while it can't be reached. Guarded by the controller's lock.
 */
public final class LeaseMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseMonitor.class);

  private final Settings.Workers workerSettings;
  private final Ledger ledger;
  private final MachineRegistry machines;
  private final AttemptLifecycle attempts;
  private final ReportedTasks reportedTasks;
  private final CommandDispatcher dispatcher;
  private final TermFence termFence;
  private final RoundTrigger rounds;

  public LeaseMonitor(
      Settings.Workers workerSettings,
      Ledger ledger,
      MachineRegistry machines,
      AttemptLifecycle attempts,
      ReportedTasks reportedTasks,
      CommandDispatcher dispatcher,
      TermFence termFence,
      RoundTrigger rounds) {
    this.workerSettings = workerSettings;
    this.ledger = ledger;
    this.machines = machines;
    this.attempts = attempts;
    this.reportedTasks = reportedTasks;
    this.dispatcher = dispatcher;
    this.termFence = termFence;
    this.rounds = rounds;
  }

  /**
   * Whether a worker's lease may be renewed while no commands may be given: not while something on
   * it has to be stopped, for the lease's end is then what stops it. That is so for every open
   * attempt that is unwanted, and for every task shown that the ledger does not hold there.
   */
  public boolean mayRenewWithoutCommands(Heartbeat heartbeat) {
    for (Attempt attempt : ledger.attemptsOn(heartbeat.machine())) {
      if (attempt.stopping() || attempt.job().cancelled()) {
        return false;
      }
    }
    for (TaskStatus task : heartbeat.tasks()) {
      if (!task.ended() && !ledger.holds(task, heartbeat.machine())) {
        return false;
      }
    }
    return true;
  }

  /** Looks at all machines; called every so often while the leadership certainly holds. */
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
        // Also where only tasks without an attempt are shown: a heartbeat that was held back for
        // long
        // may show them, and while they are shown they may start nowhere else.
        leaseOver(machine, List.copyOf(open));
      } else {
        fenceNeeded |= checkStops(machine, open, now);
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

  /** Sends an empty command where commands seem to get lost: an answer shows that they arrive. */
  private void probeIfUnreachable(Machine machine, SteadyTime now) {
    if (machine.agent().hasEndpoint()
        && !machine.outbox().isInFlight()
        && dispatcher.free()
        && machine.health().reachability().isProbeDue(now)) {
      dispatcher.probe(machine, now);
    }
  }

  /** The worker has killed what it ran; nothing that it showed before is there any more. */
  private void leaseOver(Machine machine, List<Attempt> open) {
    LOG.info("machine {}: worker lease expired", machine.id());
    AgentEpoch lastEpoch = machine.agent().epoch();
    for (Attempt attempt : open) {
      if (attempt.epoch().compareTo(lastEpoch) > 0) {
        lastEpoch = attempt.epoch();
      }
      attempts.close(attempt, false, "lease over");
    }
    machine.agent().endEpochs(lastEpoch);
    machine.outstandingStarts().clear();
    machine.outbox().clear();
    // Otherwise its tasks would count as still shown, and could not start elsewhere.
    reportedTasks.show(machine, List.of());
  }

  /** Repeats stops that are overdue; tells whether one of them needs a higher term. */
  private boolean checkStops(Machine machine, Collection<Attempt> open, SteadyTime now) {
    boolean fenceNeeded = false;
    for (Attempt attempt : stoppingAttempts(open)) {
      if (isOverdue(attempt, now)) {
        attempts.stop(attempt, 0);
      }
      fenceNeeded |= termFence.isNeeded(machine, attempt, now);
    }
    return fenceNeeded;
  }

  /**
   * The attempts being stopped, apart from the ledger's own collection, which a stop may change.
   */
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

  /**
   * Whether a stop with time to save was not obeyed in time. Until a gang's tasks know that their
   * peers are saving and a heartbeat shows it, some time more may pass.
   */
  private boolean isOverdue(Attempt attempt, SteadyTime now) {
    double allowedS =
        attempt.stopGraceS() + workerSettings.gangPeerS() + workerSettings.heartbeatIntervalS();
    return attempt.stopping()
        && attempt.stopGraceS() > 0
        && now.secondsSince(attempt.stopAt()) > allowedS;
  }
}
