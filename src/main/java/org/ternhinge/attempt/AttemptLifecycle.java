package org.ternhinge.attempt;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.Clock;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.wire.Command;

/**
 * Takes attempts from their durable record to their end: sends their starts, stops them, and closes
 * them on proof that they are gone. A start goes out only after the key-value store holds the
 * attempt, so that the next leader finds everything that may run. Guarded by the controller's lock.
 */
public final class AttemptLifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptLifecycle.class);

  private final Ledger ledger;
  private final LedgerWriter writer;
  private final MachineRegistry machines;
  private final CommandDispatcher dispatcher;
  private final RoundTrigger rounds;
  private final Clock clock;
  private final AttemptListener listener;

  /**
   * Creates the life cycle of one leadership's attempts.
   *
   * @param listener is called for each attempt that is closed
   */
  public AttemptLifecycle(
      LeadershipContext context,
      MachineRegistry machines,
      CommandDispatcher dispatcher,
      AttemptListener listener) {
    this.ledger = context.ledger();
    this.writer = context.writer();
    this.machines = machines;
    this.dispatcher = dispatcher;
    this.rounds = context.rounds();
    this.clock = context.services().clock();
    this.listener = listener;
  }

  /**
   * Sends the starts of attempts that the key-value store now holds. Those that were stopped, or
   * whose job was cancelled, while they were being written are closed instead.
   */
  public void startDurable(List<Attempt> attempts) {
    Set<Machine> recipients = new LinkedHashSet<>();
    for (Attempt attempt : attempts) {
      Machine machine = machines.find(attempt.machine()).orElse(null);
      if (machine == null || !attempt.epoch().equals(machine.agent().epoch())) {
        continue;
      }
      if (attempt.isStopRequested() || attempt.job().isCancelled()) {
        stopBeforeStart(attempt, machine);
      } else {
        machine.outbox().add(new Command(Command.Op.START, attempt.task(), attempt.number(), 0));
        recipients.add(machine);
      }
    }
    recipients.forEach(dispatcher::dispatch);
  }

  private void stopBeforeStart(Attempt attempt, Machine machine) {
    attempt.requestStop(0, clock.now());
    machine.invalidateView();
    closeIfNeverSent(attempt);
  }

  /**
   * Closes an attempt that is proved to be over. A gang that loses a task this way is stopped as a
   * whole, since its other tasks can't go on alone. Does nothing for an attempt that was closed
   * before.
   */
  public void close(Attempt attempt, ClosingEvidence evidence) {
    Job job = attempt.job();
    boolean done = evidence.isTaskDone();
    if (job.openAttempt(attempt.task().index()) != attempt) {
      return;
    }
    ledger.close(attempt, done);
    listener.attemptClosed(attempt, done);
    releaseMachine(attempt);
    LOG.debug(
        "closed {} attempt {} on {}: {}",
        attempt.task(),
        attempt.number(),
        attempt.machine(),
        evidence.text());
    if (!done && job.spec().isGang() && !job.isCancelled()) {
      stopRestOfGang(job);
    }
    writer.sendNext();
    rounds.requestRound();
  }

  private void releaseMachine(Attempt attempt) {
    Machine machine = machines.find(attempt.machine()).orElse(null);
    if (machine == null) {
      return;
    }
    machine.invalidateView();
    if (ledger.attemptsOn(machine.id()).isEmpty()) {
      machine.markIdle(clock.now());
    }
  }

  /**
   * Stops the other tasks of a gang at once, except those that are saving their progress already.
   */
  private void stopRestOfGang(Job job) {
    for (Attempt attempt : List.copyOf(job.openAttempts())) {
      if (!attempt.isStopRequested()) {
        stop(attempt, 0);
      }
    }
  }

  /**
   * Stops one attempt. An earlier stop stands unless this one leaves less time.
   *
   * @param graceS seconds that the task may take to save its progress
   */
  public void stop(Attempt attempt, double graceS) {
    if (attempt.isStopRequested() && attempt.stopGraceS() <= graceS) {
      return;
    }
    attempt.requestStop(graceS, clock.now());
    Machine machine = machines.find(attempt.machine()).orElse(null);
    if (machine == null) {
      return;
    }
    machine.invalidateView();
    if (attempt.isReported()) {
      machine.outbox().add(new Command(Command.Op.STOP, attempt.task(), attempt.number(), graceS));
      dispatcher.dispatch(machine);
    }
  }

  /** Stops an attempt, and with it its whole gang, whose tasks save their progress together. */
  public void stopWithGang(Attempt attempt, double graceS) {
    if (!attempt.job().spec().isGang()) {
      stop(attempt, graceS);
      return;
    }
    for (Attempt member : List.copyOf(attempt.job().openAttempts())) {
      stop(member, graceS);
    }
  }

  /** Stops all of a job's attempts at once; those that were never sent are closed. */
  void stopAll(Job job) {
    for (Attempt attempt : List.copyOf(job.openAttempts())) {
      stop(attempt, 0);
    }
    for (Attempt attempt : List.copyOf(job.openAttempts())) {
      if (attempt.isStopRequested()) {
        closeIfNeverSent(attempt);
      }
    }
  }

  /**
   * Closes an attempt that is to be stopped and whose start was never sent, neither by a direct
   * command nor in the answer to a heartbeat: nothing of it can arrive, so no status of the worker
   * is needed as proof. Starts of an earlier leader's attempts may be in flight unknown to this
   * one.
   */
  public void closeIfNeverSent(Attempt attempt) {
    if (!attempt.isRecovered()
        && !attempt.isReported()
        && attempt.startHeartbeatSequence() < 0
        && !isDirectStartOutstanding(attempt)) {
      close(attempt, ClosingEvidence.NEVER_SENT);
    }
  }

  private boolean isDirectStartOutstanding(Attempt attempt) {
    return machines
        .find(attempt.machine())
        .filter(machine -> machine.outstandingStarts().mayArrive(attempt.task(), attempt.number()))
        .isPresent();
  }
}
