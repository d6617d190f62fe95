package org.ternhinge.attempt;

import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.OutstandingStarts;
import org.ternhinge.metrics.InvariantChecks;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.metrics.WorkerCommandMetrics.Event;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.EventLine;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.Command;

/**
 * Decides whether a worker may forget an attempt. Once it has, it would execute a start of the
 * attempt again, and the network may deliver a direct start that was executed once more. The worker
 * may therefore forget an attempt only under a higher fencing token than all direct starts of it.
 * The token is raised in the response that tells it to forget: a worker that does not receive the
 * response does not forget either. Guarded by the controller's lock.
 */
public final class StartFence {
  private static final Logger LOG = LoggerFactory.getLogger(StartFence.class);

  /** Seconds to wait after a stop for the report of a start that is still under way. */
  static final double FENCE_AFTER_S = 4;

  private final FencingTokens tokens;
  private final Metrics metrics;

  /** Creates a fence that raises the tokens of workers. */
  public StartFence(FencingTokens tokens, Metrics metrics) {
    this.tokens = tokens;
    this.metrics = metrics;
  }

  /**
   * Whether the response to a worker's latest heartbeat may tell the worker to forget an attempt
   * that has ended. Raises the worker's token if that is necessary and possible.
   */
  public boolean allowsForget(Machine machine, TaskId task, AttemptNumber attempt) {
    boolean allowed = isFenced(machine, task, attempt) || raise(machine);
    metrics.workerCommands().count(allowed ? Event.FORGET : Event.FORGET_DELAYED);
    if (allowed && LOG.isDebugEnabled()) {
      LOG.debug("{}", withFacts(EventLine.of("command-allowed", "forget"), machine, task, attempt));
    }
    return allowed;
  }

  /** Whether the worker rejects all direct starts of an attempt when it sees its current token. */
  private boolean isFenced(Machine machine, TaskId task, AttemptNumber attempt) {
    return machine.outstandingStarts().isFencedBy(tokens.tokenOf(machine), task, attempt);
  }

  /** Raises the token, unless a message is in flight, which the worker would then reject. */
  private boolean raise(Machine machine) {
    if (machine.outbox().isInFlight() || !tokens.raise(machine)) {
      return false;
    }
    metrics.workerCommands().count(Event.TOKEN_RAISED);
    return true;
  }

  /**
   * Raises the token of a worker if a stopped attempt on it stays open only because a direct start
   * may still be executed. The attempt can be closed when the worker reports the token.
   */
  public void fenceStopped(Machine machine, Collection<Attempt> open, MonotonicTime now) {
    for (Attempt attempt : open) {
      if (isNeeded(machine, attempt, now)) {
        raise(machine);
        return;
      }
    }
  }

  /** Whether a stopped attempt stays open only because of an unfenced start. */
  boolean isNeeded(Machine machine, Attempt attempt, MonotonicTime now) {
    OutstandingStarts starts = machine.outstandingStarts();
    return attempt.isStopRequested()
        && !attempt.isReported()
        && now.secondsSince(attempt.stopRequest().orElseThrow().requestedAt()) > FENCE_AFTER_S
        && starts.mayBeExecuted(attempt.task(), attempt.number())
        && !isFenced(machine, attempt.task(), attempt.number());
  }

  /** Checks the commands of a response to a worker, which carries the worker's current token. */
  public void verify(Machine machine, List<Command> commands) {
    for (Command command : commands) {
      if (command.op() == Command.Op.FORGET
          && !isFenced(machine, command.task(), command.attempt())) {
        EventLine line = InvariantChecks.line("forgotten-before-fence");
        metrics.invariants().violated(withFacts(line, machine, command.task(), command.attempt()));
      }
    }
  }

  private EventLine withFacts(EventLine line, Machine machine, TaskId task, AttemptNumber attempt) {
    return line.with("task", task)
        .with("attempt", attempt)
        .with("machine", machine.id())
        .with("epoch", machine.agent().epoch())
        .with("token", tokens.tokenOf(machine));
  }
}
