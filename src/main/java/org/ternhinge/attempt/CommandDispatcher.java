package org.ternhinge.attempt;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.config.Settings;
import org.ternhinge.http.SocketShares;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.worker.Workers;
import org.ternhinge.worker.Workers.Answer;

/**
 * Sends commands to workers directly, one message at a time to a machine. A direct start whose
 * answer is lost stays outstanding until nothing of it can arrive. Guarded by the controller's
 * lock.
 */
public final class CommandDispatcher {
  /** Commands that one message carries at most. */
  public static final int MAX_COMMANDS = 400;

  /** A machine that owes so many reports is not told anything directly. */
  private static final double SILENT_HEARTBEATS = 2.5;

  private final LeadershipExecutor executor;
  private final AgentStatusSink heartbeats;
  private final Settings settings;
  private final Workers workers;
  private final Clock clock;
  private final Metrics metrics;
  private final Authority authority;
  private final Ledger ledger;
  private final Lock lock;

  /** Messages that may be under way at once; each takes a socket. */
  private final int maxUnderWay;

  private int underWay;

  /** Machines with something to be told, until a message under way has come back. */
  private final LinkedHashSet<Machine> queue = new LinkedHashSet<>();

  public CommandDispatcher(
      LeadershipExecutor executor,
      AgentStatusSink heartbeats,
      ControllerServices services,
      Authority authority,
      Ledger ledger) {
    this.executor = executor;
    this.heartbeats = heartbeats;
    this.settings = services.settings();
    this.workers = services.workers();
    this.clock = services.clock();
    this.metrics = services.metrics();
    this.authority = authority;
    this.ledger = ledger;
    this.lock = services.lock();
    this.maxUnderWay = SocketShares.of(settings.maxSockets()).calls();
  }

  /** Whether another message may go out now. */
  public boolean free() {
    return freeSlots() > 0;
  }

  /** How many more messages may go out now. */
  public int freeSlots() {
    return Math.max(0, maxUnderWay - underWay);
  }

  /** Sends what waits for a machine, one message at a time so that commands keep their sequence. */
  void dispatch(Machine machine) {
    SteadyTime now = clock.now();
    if (machine.outbox().isInFlight() || machine.outbox().isEmpty()) {
      return;
    }
    if (!mayCommand(machine, now)) {
      machine.outbox().clear();
      return;
    }
    if (!free()) {
      queue.add(machine);
      return;
    }
    List<Command> commands = takeOutbox(machine);
    if (!commands.isEmpty()) {
      sendCommands(machine, commands, now);
    }
  }

  /**
   * Whether a machine may be told something directly. One that does not answer lately may not: its
   * next heartbeat's answer carries the commands, and messages to a whole zone that is cut off
   * would keep all others waiting for their time-outs.
   */
  private boolean mayCommand(Machine machine, SteadyTime now) {
    if (!authority.valid() || !machine.agent().hasEndpoint() || machine.cloud().isTerminated()) {
      return false;
    }
    double silentS = SILENT_HEARTBEATS * settings.workers().heartbeatIntervalS();
    return machine.agent().silentForS(now) <= silentS && !machine.outbox().isPaused(now);
  }

  /**
   * Takes what is still wanted from a machine's outbox; its starts are outstanding from here on.
   */
  private List<Command> takeOutbox(Machine machine) {
    List<Command> commands = new ArrayList<>();
    while (!machine.outbox().isEmpty() && commands.size() < MAX_COMMANDS) {
      Command command = machine.outbox().take();
      if (command.op() == Command.Op.START) {
        Attempt attempt = openAttempt(command);
        if (attempt == null || !mayStart(attempt, machine)) {
          continue;
        }
        machine.outstandingStarts().sent(command.task(), command.attempt());
      }
      commands.add(command);
    }
    return commands;
  }

  private static boolean mayStart(Attempt attempt, Machine machine) {
    return !attempt.stopping()
        && attempt.durable()
        && attempt.epoch().equals(machine.agent().epoch());
  }

  private Attempt openAttempt(Command command) {
    Job job = ledger.job(command.task().job());
    Attempt attempt = job == null ? null : job.open(command.task().index());
    return attempt != null && attempt.number().equals(command.attempt()) ? attempt : null;
  }

  private void sendCommands(Machine machine, List<Command> commands, SteadyTime now) {
    machine.outbox().markInFlight();
    AgentEpoch epoch = machine.agent().epoch();
    send(
        machine.agent().endpoint().orElseThrow(),
        epoch,
        commands,
        outcome -> answered(machine, epoch, commands, outcome, now));
  }

  /** The one way out to a worker, so that what is under way is counted. */
  private void send(
      Endpoint to, AgentEpoch epoch, List<Command> commands, Consumer<Outcome<Answer>> then) {
    underWay++;
    executor.whenAnswered(
        workers.command(to, authority.term(), epoch, commands, this::mayStillSend),
        outcome -> cameBack(outcome, then));
  }

  /**
   * Whether the authority that a command was decided on still holds as it is about to leave. The
   * process may have stood still since, or the connection have taken long; another leader may have
   * decided otherwise by now.
   */
  private boolean mayStillSend() {
    lock.lock();
    try {
      return !executor.stopped() && authority.valid();
    } finally {
      lock.unlock();
    }
  }

  private void cameBack(Outcome<Answer> outcome, Consumer<Outcome<Answer>> then) {
    underWay--;
    then.accept(outcome);
    while (free() && !queue.isEmpty()) {
      Machine next = queue.iterator().next();
      queue.remove(next);
      dispatch(next);
    }
  }

  /** Tells a worker of this term, whatever is known of it; the answer may say that it refuses. */
  void announceTerm(Endpoint to, AgentEpoch epoch, Consumer<Outcome<Answer>> then) {
    send(to, epoch, List.of(), then);
  }

  /**
   * Asks a worker that seems unreachable for a heartbeat; a message without commands brings one.
   */
  public void probe(Machine machine, SteadyTime now) {
    sendCommands(machine, List.of(), now);
  }

  private void answered(
      Machine machine,
      AgentEpoch epoch,
      List<Command> commands,
      Outcome<Answer> outcome,
      SteadyTime sent) {
    machine.outbox().markLanded();
    SteadyTime now = clock.now();
    if (outcome instanceof Outcome.Applied<Answer> applied) {
      Heartbeat heartbeat = applied.value().heartbeat();
      if (heartbeat.fencingToken().compareTo(authority.term()) > 0) {
        authority.lost("a worker has seen term " + heartbeat.fencingToken());
        return;
      }
      settleOutstandingStarts(machine, epoch, commands);
      machine.health().reachability().probeAnswered();
      metrics.commandAnswered(now.secondsSince(sent));
      heartbeats.take(machine, heartbeat, false, now);
    } else {
      if (outcome instanceof Outcome.NotApplied<Answer> not
          && not.reason() != Reason.NO_CONNECTION) {
        settleOutstandingStarts(machine, epoch, commands);
      }
      // Otherwise the message may yet arrive: its starts stay outstanding until the epoch ends.
      machine.outbox().pauseUntil(now.plusSeconds(settings.workers().heartbeatIntervalS()));
    }
    dispatch(machine);
  }

  private static void settleOutstandingStarts(
      Machine machine, AgentEpoch epoch, List<Command> commands) {
    if (!epoch.equals(machine.agent().epoch())) {
      return;
    }
    for (Command command : commands) {
      if (command.op() == Command.Op.START) {
        machine.outstandingStarts().settled(command.task(), command.attempt());
      }
    }
  }
}
