package org.ternhinge.attempt;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.Clock;
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.wire.Command;

/**
 * Takes attempts from their durable record to their end: sends their starts, stops them, and closes
 * them on proof that they are gone. A start goes out only after the key-value store holds the
 * attempt, so that the next leader knows of everything that may run. Guarded by the controller's
 * lock.
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

  public AttemptLifecycle(
      Ledger ledger,
      LedgerWriter writer,
      MachineRegistry machines,
      CommandDispatcher dispatcher,
      RoundTrigger rounds,
      Clock clock,
      AttemptListener listener) {
    this.ledger = ledger;
    this.writer = writer;
    this.machines = machines;
    this.dispatcher = dispatcher;
    this.rounds = rounds;
    this.clock = clock;
    this.listener = listener;
  }

  /** Sends the starts of attempts that the key-value store now holds, unless they are unwanted. */
  public void startDurable(List<Attempt> attempts) {
    Set<Machine> addressed = new LinkedHashSet<>();
    for (Attempt attempt : attempts) {
      Machine machine = machines.find(attempt.machine());
      if (machine == null || !attempt.epoch().equals(machine.agent().epoch())) {
        continue;
      }
      if (attempt.stopping() || attempt.job().cancelled()) {
        attempt.stop(0, clock.now());
        machine.invalidateView();
        closeIfNeverSent(attempt);
        continue;
      }
      machine.outbox().add(new Command(Command.Op.START, attempt.task(), attempt.number(), 0));
      addressed.add(machine);
    }
    addressed.forEach(dispatcher::dispatch);
  }

  /**
   * Closes an attempt that is certainly gone. A gang that lost a task this way is stopped as a
   * whole, since its other tasks can't go on alone. Does nothing for an attempt that was closed
   * before.
   *
   * @param done whether the task has finished its work
   * @param evidence what shows that the attempt is gone, for the log
   */
  public void close(Attempt attempt, boolean done, String evidence) {
    Job job = attempt.job();
    if (job.open(attempt.task().index()) != attempt) {
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
        evidence);
    if (!done && job.spec().isGang() && !job.cancelled()) {
      stopRestOfGang(job);
    }
    writer.pump();
    rounds.requestRound();
  }

  private void releaseMachine(Attempt attempt) {
    Machine machine = machines.find(attempt.machine());
    if (machine == null) {
      return;
    }
    machine.invalidateView();
    if (ledger.attemptsOn(machine.id()).isEmpty()) {
      machine.markIdle(clock.now());
    }
  }

  /** Stops at once what is left of a gang; tasks that are saving already may go on with that. */
  private void stopRestOfGang(Job job) {
    for (Attempt attempt : List.copyOf(job.openAttempts())) {
      if (!attempt.stopping()) {
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
    if (attempt.stopping() && attempt.stopGraceS() <= graceS) {
      return;
    }
    attempt.stop(graceS, clock.now());
    Machine machine = machines.find(attempt.machine());
    if (machine == null) {
      return;
    }
    machine.invalidateView();
    if (attempt.state() != AttemptState.STARTING) {
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
      if (attempt.stopping()) {
        closeIfNeverSent(attempt);
      }
    }
  }

  /**
   * Closes an unwanted attempt whose start was never sent, neither by a direct command nor in the
   * answer to a heartbeat: nothing of it can arrive, so no worker has to show that it is gone.
   * Starts of an earlier leader's attempts may be on their way unknown to this one.
   */
  public void closeIfNeverSent(Attempt attempt) {
    Machine machine = machines.find(attempt.machine());
    boolean neverSent =
        !attempt.recovered()
            && attempt.state() == AttemptState.STARTING
            && attempt.startAnswered() < 0
            && (machine == null
                || !machine.outstandingStarts().mayArrive(attempt.task(), attempt.number()));
    if (neverSent) {
      close(attempt, false, "never sent");
    }
  }
}
