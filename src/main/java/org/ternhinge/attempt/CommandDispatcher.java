package org.ternhinge.attempt;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.ternhinge.config.Settings;
import org.ternhinge.ledger.Authority;
import org.ternhinge.machine.Machine;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.worker.WorkerClient.Answer;

/**
 * Sends commands to workers directly, one message at a time to a machine, so that commands keep
 * their order. Machines wait in a queue while too many messages are in flight. A direct start whose
 * response is lost stays outstanding until nothing of it can arrive. Guarded by the controller's
 * lock.
 */
public final class CommandDispatcher {
  /** Commands that one message carries at most. */
  public static final int MAX_COMMANDS_PER_MESSAGE = 400;

  /** A worker that has missed so many heartbeats is sent no direct commands. */
  private static final double MAX_MISSED_HEARTBEATS = 2.5;

  private final AgentStatusSink statusSink;
  private final Settings.WorkerTimings workerSettings;
  private final Clock clock;
  private final Metrics metrics;
  private final Authority authority;
  private final HigherTermCheck higherTermCheck;
  private final CommandSender sender;
  private final CommandSelector selector;

  /** Machines with commands that wait for a free slot. */
  private final Set<Machine> queue = new LinkedHashSet<>();

  /**
   * Creates a dispatcher without messages in flight.
   *
   * @param statusSink receives the status that each response carries
   */
  public CommandDispatcher(LeadershipContext context, AgentStatusSink statusSink) {
    this.statusSink = statusSink;
    this.workerSettings = context.services().settings().workers();
    this.clock = context.services().clock();
    this.metrics = context.services().metrics();
    this.authority = context.authority();
    this.higherTermCheck = new HigherTermCheck(authority);
    this.sender = new CommandSender(context);
    this.selector = new CommandSelector(context.ledger());
  }

  /** How many more messages may be sent now. */
  public int freeSlots() {
    return sender.freeSlots();
  }

  /** Whether another message may be sent now. */
  public boolean hasFreeSlot() {
    return sender.hasFreeSlot();
  }

  /**
   * Sends the commands that wait in a machine's outbox, unless a message to it is in flight. They
   * are dropped where the machine takes no direct commands.
   */
  void dispatch(Machine machine) {
    SteadyTime now = clock.now();
    if (machine.outbox().isInFlight() || machine.outbox().isEmpty()) {
      return;
    }
    if (!acceptsDirectCommands(machine, now)) {
      machine.outbox().clear();
      return;
    }
    if (!sender.hasFreeSlot()) {
      queue.add(machine);
      return;
    }
    List<Command> commands = selector.takeNext(machine);
    if (!commands.isEmpty()) {
      sendCommands(machine, commands, now);
    }
  }

  /**
   * Whether direct commands may be sent to a machine. Not to one that has been silent: the answer
   * to its next heartbeat carries the commands, and messages to a whole zone that is cut off would
   * occupy all slots until they time out.
   */
  private boolean acceptsDirectCommands(Machine machine, SteadyTime now) {
    if (!authority.valid() || !machine.agent().hasEndpoint() || machine.cloud().isTerminated()) {
      return false;
    }
    double maxSilentS = MAX_MISSED_HEARTBEATS * workerSettings.heartbeatIntervalS();
    return machine.agent().silentForS(now) <= maxSilentS && !machine.outbox().isPaused(now);
  }

  private void dispatchQueued() {
    while (sender.hasFreeSlot() && !queue.isEmpty()) {
      Iterator<Machine> first = queue.iterator();
      Machine machine = first.next();
      first.remove();
      dispatch(machine);
    }
  }

  /** Requests the status of a worker that seems unreachable, by a message without commands. */
  public void probe(Machine machine, SteadyTime now) {
    sendCommands(machine, List.of(), now);
  }

  /**
   * Sends a worker the term by a message without commands, whatever is known of the machine.
   *
   * @param handler gets the outcome
   */
  void announceTerm(Endpoint worker, AgentEpoch epoch, Consumer<Outcome<Answer>> handler) {
    send(worker, epoch, List.of(), handler);
  }

  private void sendCommands(Machine machine, List<Command> commands, SteadyTime now) {
    machine.outbox().markInFlight();
    CommandMessage message = new CommandMessage(machine, machine.agent().epoch(), commands, now);
    Endpoint worker = machine.agent().endpoint().orElseThrow();
    send(worker, message.epoch(), commands, outcome -> completed(message, outcome));
  }

  private void send(
      Endpoint worker,
      AgentEpoch epoch,
      List<Command> commands,
      Consumer<Outcome<Answer>> handler) {
    sender.send(
        worker,
        epoch,
        commands,
        outcome -> {
          handler.accept(outcome);
          dispatchQueued();
        });
  }

  // ---- responses --------------------------------------------------------------------------------

  private void completed(CommandMessage message, Outcome<Answer> outcome) {
    message.machine().outbox().markLanded();
    if (outcome instanceof Outcome.Applied<Answer> applied) {
      Heartbeat status = applied.value().heartbeat();
      if (higherTermCheck.endsLeadership(status)) {
        return;
      }
      responded(message, status);
    } else {
      failed(message, outcome);
    }
    dispatch(message.machine());
  }

  private void responded(CommandMessage message, Heartbeat status) {
    SteadyTime now = clock.now();
    message.settleStarts();
    message.machine().health().reachability().probeAnswered();
    metrics.recordCommand(now.secondsSince(message.sentAt()));
    statusSink.apply(message.machine(), status, MessageOrigin.COMMAND_RESPONSE, now);
  }

  private void failed(CommandMessage message, Outcome<Answer> outcome) {
    if (hasCertainlyNotArrived(outcome)) {
      message.settleStarts();
    }
    // Otherwise the message may still arrive: its starts stay outstanding until the epoch ends.
    message
        .machine()
        .outbox()
        .pauseUntil(clock.now().plusSeconds(workerSettings.heartbeatIntervalS()));
  }

  private static boolean hasCertainlyNotArrived(Outcome<Answer> outcome) {
    return outcome instanceof Outcome.NotApplied<Answer> notApplied
        && notApplied.reason() != Reason.NO_CONNECTION;
  }
}
