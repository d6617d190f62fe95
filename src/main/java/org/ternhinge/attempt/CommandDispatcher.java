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
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Term;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.worker.WorkerClient.Answer;

/**
 * Sends commands directly to workers. At most one message per machine is in flight, so that
 * commands arrive in order, and machines are queued while the limit on messages in flight is
 * reached. A start stays outstanding until the worker can no longer execute it: its response does
 * not settle it, since the network may deliver it once more. Guarded by the controller's lock.
 */
public final class CommandDispatcher {
  /** Maximum number of commands per message. */
  public static final int MAX_COMMANDS_PER_MESSAGE = 400;

  /** Heartbeat intervals without a message after which a worker gets no direct commands. */
  private static final double MAX_MISSED_HEARTBEATS = 2.5;

  private final AgentStatusSink statusSink;
  private final Settings.WorkerTimings workerSettings;
  private final Clock clock;
  private final Metrics metrics;
  private final Authority authority;
  private final HigherTermCheck higherTermCheck;
  private final FencingTokens tokens;
  private final CommandSender sender;
  private final CommandSelector selector;

  /** Machines with commands that are waiting for a free slot. */
  private final Set<Machine> queue = new LinkedHashSet<>();

  /**
   * Creates a dispatcher with no messages in flight.
   *
   * @param tokens the fencing tokens of the messages
   * @param statusSink receives the status report in each response
   */
  public CommandDispatcher(
      LeadershipContext context, FencingTokens tokens, AgentStatusSink statusSink) {
    this.statusSink = statusSink;
    this.workerSettings = context.services().settings().workers();
    this.clock = context.services().clock();
    this.metrics = context.services().metrics();
    this.authority = context.authority();
    this.higherTermCheck = new HigherTermCheck(authority);
    this.sender = new CommandSender(context);
    this.tokens = tokens;
    this.selector = new CommandSelector(context.ledger(), tokens);
  }

  /** Returns how many more messages may be sent now. */
  public int freeSlots() {
    return sender.freeSlots();
  }

  /** Whether another message may be sent now. */
  public boolean hasFreeSlot() {
    return sender.hasFreeSlot();
  }

  /**
   * Sends the commands in a machine's outbox, unless a message to the machine is in flight. The
   * commands are dropped if the machine does not accept direct commands.
   */
  void dispatch(Machine machine) {
    MonotonicTime now = clock.now();
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
   * Whether direct commands may be sent to a machine. Excludes machines that have been silent: they
   * get the commands in the response to their next heartbeat, and messages to a partitioned zone
   * would occupy all slots until they time out.
   */
  private boolean acceptsDirectCommands(Machine machine, MonotonicTime now) {
    if (!authority.isValid() || !machine.agent().hasEndpoint() || machine.cloud().isTerminated()) {
      return false;
    }
    double maxSilentS = MAX_MISSED_HEARTBEATS * workerSettings.heartbeatIntervalS();
    return machine.agent().silenceS(now) <= maxSilentS && !machine.outbox().isPaused(now);
  }

  private void dispatchQueued() {
    while (sender.hasFreeSlot() && !queue.isEmpty()) {
      Iterator<Machine> first = queue.iterator();
      Machine machine = first.next();
      first.remove();
      dispatch(machine);
    }
  }

  /** Requests the status of a possibly unreachable worker by sending a message without commands. */
  public void probe(Machine machine, MonotonicTime now) {
    sendCommands(machine, List.of(), now);
  }

  /**
   * Announces the term to a worker by sending a message without commands, regardless of the state
   * of the machine.
   *
   * @param handler receives the outcome
   */
  void announceTerm(
      Machine machine, Endpoint worker, AgentEpoch epoch, Consumer<Outcome<Answer>> handler) {
    send(worker, tokens.tokenOf(machine), epoch, List.of(), handler);
  }

  private void sendCommands(Machine machine, List<Command> commands, MonotonicTime now) {
    machine.outbox().markInFlight();
    CommandMessage message = new CommandMessage(machine, machine.agent().epoch(), commands, now);
    Endpoint worker = machine.agent().endpoint().orElseThrow();
    send(
        worker,
        tokens.tokenOf(machine),
        message.epoch(),
        commands,
        outcome -> handleOutcome(message, outcome));
  }

  private void send(
      Endpoint worker,
      Term token,
      AgentEpoch epoch,
      List<Command> commands,
      Consumer<Outcome<Answer>> handler) {
    sender.send(
        worker,
        token,
        epoch,
        commands,
        outcome -> {
          handler.accept(outcome);
          dispatchQueued();
        });
  }

  // ---- responses --------------------------------------------------------------------------------

  private void handleOutcome(CommandMessage message, Outcome<Answer> outcome) {
    message.machine().outbox().markCompleted();
    if (outcome instanceof Outcome.Applied<Answer> applied) {
      Heartbeat status = applied.value().heartbeat();
      if (higherTermCheck.endsLeadership(status)) {
        return;
      }
      handleResponse(message, applied.value());
    } else {
      handleFailure(message, outcome);
    }
    dispatch(message.machine());
  }

  private void handleResponse(CommandMessage message, Answer answer) {
    MonotonicTime now = clock.now();
    if (answer instanceof Answer.Refused) {
      // The worker refuses duplicates of the message, too. Executed starts stay outstanding.
      message.settleStarts();
    }
    message.machine().health().reachability().recordProbeAnswer();
    metrics.recordCommand(now.secondsSince(message.sentAt()));
    statusSink.apply(message.machine(), answer.heartbeat(), MessageOrigin.COMMAND_RESPONSE, now);
  }

  private void handleFailure(CommandMessage message, Outcome<Answer> outcome) {
    if (isKnownUndelivered(outcome)) {
      message.settleStarts();
    }
    // Otherwise, the message may still arrive; its starts stay outstanding until the epoch ends.
    message
        .machine()
        .outbox()
        .pauseUntil(clock.now().plusSeconds(workerSettings.heartbeatIntervalS()));
  }

  private static boolean isKnownUndelivered(Outcome<Answer> outcome) {
    return outcome instanceof Outcome.NotApplied<Answer> notApplied
        && notApplied.reason() != Reason.NO_CONNECTION;
  }
}
