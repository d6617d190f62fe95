package org.ternhinge.attempt;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.metrics.InvariantChecks;
import org.ternhinge.model.Clock;
import org.ternhinge.model.EventLine;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.wire.Command;

/**
 * Manages attempts from the time their record is durable: sends start commands, stops attempts, and
 * closes them once there is evidence that they have ended. A start is sent only after the attempt
 * is stored in the key-value store, so that the next leader knows of every attempt that may be
 * running. Guarded by the controller's lock.
 */
public final class AttemptLifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptLifecycle.class);

  private final Ledger ledger;
  private final LedgerWriter writer;
  private final Authority authority;
  private final MachineRegistry machines;
  private final CommandDispatcher dispatcher;
  private final RoundTrigger rounds;
  private final Clock clock;
  private final AttemptListener listener;
  private final InvariantChecks invariants;

  /**
   * Creates the lifecycle manager for the attempts of one leadership term.
   *
   * @param listener notified of each attempt that is closed
   */
  public AttemptLifecycle(
      LeadershipContext context,
      MachineRegistry machines,
      CommandDispatcher dispatcher,
      AttemptListener listener) {
    this.ledger = context.ledger();
    this.writer = context.writer();
    this.authority = context.authority();
    this.machines = machines;
    this.dispatcher = dispatcher;
    this.rounds = context.rounds();
    this.clock = context.services().clock();
    this.listener = listener;
    this.invariants = context.services().metrics().invariants();
  }

  /**
   * Sends start commands for attempts that have just become durable. Attempts that were stopped, or
   * whose job was cancelled, while the write was in progress are closed instead.
   */
  public void sendDurableStarts(List<Attempt> attempts) {
    Set<Machine> recipients = new LinkedHashSet<>();
    for (Attempt attempt : attempts) {
      Machine machine = machines.find(attempt.machine()).orElse(null);
      if (machine == null || !attempt.epoch().equals(machine.agent().epoch())) {
        continue;
      }
      if (attempt.isStopRequested() || attempt.job().isCancelled()) {
        stopBeforeStart(attempt, machine);
      } else {
        logAllowed("start", attempt, "durable");
        machine.outbox().add(new Command(Command.Op.START, attempt.task(), attempt.number(), 0));
        recipients.add(machine);
      }
    }
    recipients.forEach(dispatcher::dispatch);
  }

  private void logAllowed(String command, Attempt attempt, String reason) {
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "{}",
          EventLine.of("command-allowed", command)
              .with("task", attempt.task())
              .with("attempt", attempt.number())
              .with("machine", attempt.machine())
              .with("epoch", attempt.epoch())
              .with("term", authority.term())
              .with("valid", authority.isValid())
              .with("reason", reason));
    }
  }

  private void stopBeforeStart(Attempt attempt, Machine machine) {
    attempt.requestStop(0, clock.now());
    machine.invalidateView();
    closeIfNeverSent(attempt);
  }

  /**
   * Closes an attempt that has ended. If the task belongs to a gang and is not done, the rest of
   * the gang is stopped, since it cannot continue without the task. Does nothing if the attempt is
   * already closed.
   */
  public void close(Attempt attempt, ClosingEvidence evidence) {
    Job job = attempt.job();
    boolean done = evidence.isTaskDone();
    if (job.openAttempt(attempt.task().index()) != attempt) {
      return;
    }
    verifyCannotStart(attempt, evidence);
    ledger.close(attempt, done);
    listener.attemptClosed(attempt, done);
    releaseMachine(attempt);
    logClosed(attempt, evidence);
    if (!done && job.spec().isGang() && !job.isCancelled()) {
      stopRestOfGang(job);
    }
    writer.sendNext();
    rounds.requestRound();
  }

  /** Reports a violation if an attempt is closed as never started although it may still start. */
  private void verifyCannotStart(Attempt attempt, ClosingEvidence evidence) {
    if (evidence.isStartExcluded() && isDirectStartOutstanding(attempt)) {
      invariants.violated(
          withFacts(InvariantChecks.line("closed-before-fence"), attempt, evidence));
    }
  }

  private void logClosed(Attempt attempt, ClosingEvidence evidence) {
    if (LOG.isDebugEnabled()) {
      LOG.debug("{}", withFacts(EventLine.of("attempt-event", "closed"), attempt, evidence));
    }
  }

  private EventLine withFacts(EventLine line, Attempt attempt, ClosingEvidence evidence) {
    return line.with("task", attempt.task())
        .with("attempt", attempt.number())
        .with("machine", attempt.machine())
        .with("epoch", attempt.epoch())
        .with("term", authority.term())
        .with("evidence", evidence.text());
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
   * Stops the other tasks of a gang without grace, except those that are already stopping and may
   * be saving a checkpoint.
   */
  private void stopRestOfGang(Job job) {
    for (Attempt attempt : List.copyOf(job.openAttempts())) {
      if (!attempt.isStopRequested()) {
        stop(attempt, 0);
      }
    }
  }

  /**
   * Stops one attempt. If it is already stopping, only a shorter grace period has an effect.
   *
   * @param graceS time in seconds that the task gets to save a checkpoint
   */
  public void stop(Attempt attempt, double graceS) {
    if (attempt.isStopRequested() && attempt.stopGraceS() <= graceS) {
      return;
    }
    attempt.requestStop(graceS, clock.now());
    logAllowed("stop", attempt, attempt.job().isCancelled() ? "cancelled" : "planned");
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

  /** Stops an attempt and the rest of its gang, whose tasks save their checkpoints together. */
  public void stopWithGang(Attempt attempt, double graceS) {
    if (!attempt.job().spec().isGang()) {
      stop(attempt, graceS);
      return;
    }
    for (Attempt member : List.copyOf(attempt.job().openAttempts())) {
      stop(member, graceS);
    }
  }

  /** Stops all attempts of a job without grace, and closes those whose start was never sent. */
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
   * Closes a stopping attempt whose start was never sent, neither as a direct command nor in a
   * heartbeat response. No start of it can arrive, so no status report of the worker is needed.
   * Attempts of an earlier leader are excluded, since this leader does not know which of their
   * starts are in flight.
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
        .filter(
            machine -> machine.outstandingStarts().mayBeExecuted(attempt.task(), attempt.number()))
        .isPresent();
  }
}
