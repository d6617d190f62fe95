package org.ternhinge.controller;

import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Heartbeat;

/**
 * Takes in what workers report, in the order in which they sent it, and says what they are told. A
 * report that is older than what is known changes nothing, and one that shows the same tasks as the
 * last costs one comparison. Guarded by the controller's lock.
 */
final class HeartbeatProcessor implements AgentStatusSink {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);

  /**
   * A worker whose epoch ends at least so long before its lease was to end did not get the
   * answers that renewed the lease.
   */
  private static final double LAPSE_S = 2;

  /**
   * So many workers may seem unreachable before the fault is taken to be this node's own; a tenth
   * of the fleet where that is more.
   */
  private static final int MAX_UNREACHABLE = 3;

  private static final int MAX_UNREACHABLE_FLEET_PART = 10;

  /** Beyond the time for saving, what a task that is told of its machine's end may take. */
  private static final double SAVE_SLACK_S = 1;

  private final AttemptObserver observer;
  private final ReportedTasks reportedTasks;
  private final AttemptLifecycle attempts;
  private final MachineRegistry machines;
  private final RoundTrigger rounds;
  private final Settings settings;
  private final Tuning tuning;
  private final Clock clock;
  private final Authority authority;
  private final Ledger ledger;
  private final MachineProvisioner provisioner;
  private final HeartbeatCommands answers;
  private final BootTimes bootTimes;

  HeartbeatProcessor(
      LeadershipContext context,
      AttemptObserver observer,
      ReportedTasks reportedTasks,
      AttemptLifecycle attempts,
      MachineProvisioner provisioner,
      HeartbeatCommands answers,
      BootTimes bootTimes) {
    this.observer = observer;
    this.reportedTasks = reportedTasks;
    this.attempts = attempts;
    this.machines = context.machines();
    this.rounds = context.rounds();
    this.settings = context.services().settings();
    this.tuning = context.services().tuning();
    this.clock = context.services().clock();
    this.authority = context.authority();
    this.ledger = context.ledger();
    this.provisioner = provisioner;
    this.answers = answers;
    this.bootTimes = bootTimes;
  }

  /**
   * Takes in a heartbeat and says what the worker is to do; empty where it must not be answered. An
   * answer renews the lease of a worker that hears it, so there is none for what is held to be
   * gone: such a heartbeat is a late copy, which nobody waits for, or shows that the evidence was
   * wrong, and then the lease's end is what stops the tasks.
   */
  Optional<List<Command>> heartbeat(Heartbeat heartbeat, boolean mayCommand) {
    SteadyTime now = clock.now();
    if (heartbeat.fencingToken().compareTo(authority.term()) > 0) {
      authority.lost("a worker has seen term " + heartbeat.fencingToken());
      return Optional.empty();
    }
    if (machines.wasRemoved(heartbeat.machine())) {
      // A late copy: what is certainly gone must not come back to life by it.
      return Optional.empty();
    }
    Machine machine = machines.findOrAdd(heartbeat.machine(), now);
    if (machine.terminated) {
      return Optional.empty();
    }
    if (heartbeat.epoch().compareTo(machine.epoch) < 0 || isOver(heartbeat.epoch(), machine)) {
      // Held back by a cut, as a rule: the machine may be about to return, so it is kept for
      // longer.
      machine.leaseEnds = leaseFrom(now).max(machine.leaseEnds);
      return Optional.empty();
    }
    boolean fresh = take(machine, heartbeat, true, now);
    if (!fresh) {
      // It was overtaken by an answer to a command, or is a copy: it was sent before that answer
      // was
      // taken in. What it shows is old, but a worker that hears this must not miss a stop by it.
      machine.leaseEnds = leaseFrom(machine.lastHeartbeat).max(machine.leaseEnds);
      return Optional.of(mayCommand ? answers.stops(machine) : List.of());
    }
    if (heartbeat.fencingToken().compareTo(authority.term()) < 0
        && authority.term().equals(machine.answered)) {
      missedAnswer(machine, now);
    }
    machine.answered = authority.term();
    // The report was sent before now, so a lease counted from now ends no sooner than the worker's.
    machine.leaseEnds = leaseFrom(now).max(machine.leaseEnds);
    return Optional.of(mayCommand ? answers.commands(machine, heartbeat) : List.of());
  }

  private static boolean isOver(AgentEpoch epoch, Machine machine) {
    return epoch.compareTo(machine.lastEndedEpoch) <= 0;
  }

  private SteadyTime leaseFrom(SteadyTime answered) {
    return answered.plusSeconds(
        settings.workers().leaseS() * (1 + Settings.DRIFT) + tuning.marginS());
  }

  @Override
  public boolean take(Machine machine, Heartbeat heartbeat, boolean isHeartbeat, SteadyTime now) {
    int newer = heartbeat.epoch().compareTo(machine.epoch);
    boolean old = newer < 0 || (newer == 0 && heartbeat.sequence() <= machine.sequence);
    if (old || isOver(heartbeat.epoch(), machine)) {
      return false;
    }
    if (newer > 0) {
      beginEpoch(machine, heartbeat.epoch(), now);
    }
    machine.sequence = heartbeat.sequence();
    takeFencingToken(machine, heartbeat);
    takeAttributes(machine, heartbeat);
    machine.lastHeartbeat = now;
    if (!machine.heartbeatReceived) {
      firstHeartbeat(machine, now);
    }
    takeEndpoint(machine, heartbeat);
    if (heartbeat.reclaimNoticeS() != null && machine.reclaimAt == null) {
      machine.reclaimAt = now.plusSeconds(heartbeat.reclaimNoticeS());
      stopBeforeLoss(machine, heartbeat.reclaimNoticeS());
    }
    if (!machine.tasks.equals(heartbeat.tasks())) {
      reportedTasks.show(machine, heartbeat.tasks());
      observer.observeAll(machine, heartbeat, now);
    }
    if (observer.settleUnshown(machine, heartbeat, isHeartbeat)) {
      missedAnswer(machine, now);
    }
    return true;
  }

  /** The worker's lease ran out: everything of its earlier epochs is gone. */
  private void beginEpoch(Machine machine, AgentEpoch epoch, SteadyTime now) {
    for (Attempt attempt : List.copyOf(ledger.attemptsOn(machine.id))) {
      if (attempt.epoch().compareTo(epoch) < 0) {
        attempts.close(attempt, false, "agent epoch over");
      }
    }
    machine.forgetOutstandingStarts();
    machine.outbox.clear();
    machine.epoch = epoch;
    if (machine.answered != null && machine.leaseEnds.secondsSince(now) > LAPSE_S) {
      // It was answered lately, and its lease has ended for want of an answer.
      machine.reachability.leaseLapsed(now, this::othersReachable);
    }
    // An epoch may have begun just now, and lasts a whole lease without any answer.
    machine.leaseEnds = leaseFrom(now).max(machine.leaseEnds);
  }

  private static void takeFencingToken(Machine machine, Heartbeat heartbeat) {
    if (heartbeat.fencingToken().compareTo(machine.fencingToken) > 0) {
      machine.fencingToken = heartbeat.fencingToken();
    }
    machine.observeFencingToken(heartbeat.fencingToken());
  }

  private void takeAttributes(Machine machine, Heartbeat heartbeat) {
    if (heartbeat.type().equals(machine.type)
        && heartbeat.zone().equals(machine.zoneName)
        && machine.spot == heartbeat.spot()) {
      return;
    }
    machine.type = heartbeat.type();
    machine.zoneName = heartbeat.zone();
    machine.zone = settings.zones().indexOf(heartbeat.zone());
    machine.spot = heartbeat.spot();
    machine.view = null;
  }

  private void firstHeartbeat(Machine machine, SteadyTime now) {
    machine.heartbeatReceived = true;
    machine.view = null;
    if (machine.provisionedAt != null && ledger.attemptsOn(machine.id).isEmpty()) {
      machine.idleSince = now;
    }
    bootTimes.cameUp(machine, now);
    provisioner.seen(machine.id);
    rounds.requestRound();
  }

  private static void takeEndpoint(Machine machine, Heartbeat heartbeat) {
    if (machine.endpoint != null && machine.endpointText.equals(heartbeat.endpoint())) {
      return;
    }
    try {
      machine.endpoint = Endpoint.parse(heartbeat.endpoint());
      machine.endpointText = heartbeat.endpoint();
    } catch (IllegalArgumentException e) {
      LOG.warn("machine {}: no usable endpoint in its heartbeat", machine.id);
    }
  }

  /** A heartbeat shows no trace of what an answer before it has told. */
  private void missedAnswer(Machine machine, SteadyTime now) {
    machine.reachability.answerMissed(now, this::othersReachable);
    if (machine.reachability.unreachable()) {
      rounds.requestRound();
    }
  }

  /** Where many workers seem unreachable at once, the fault is this node's, not theirs. */
  private boolean othersReachable() {
    int unreachable = 0;
    for (Machine machine : machines.all()) {
      unreachable += machine.reachability.unreachable() ? 1 : 0;
    }
    int fleetPart = machines.all().size() / MAX_UNREACHABLE_FLEET_PART;
    return unreachable < Math.max(MAX_UNREACHABLE, fleetPart);
  }

  /** The cloud takes the machine soon: replicas start elsewhere, other tasks save what they can. */
  private void stopBeforeLoss(Machine machine, double seconds) {
    LOG.info("machine {}: spot reclaim notice, {} s left", machine.id, seconds);
    for (Attempt attempt : List.copyOf(ledger.attemptsOn(machine.id))) {
      JobSpec spec = attempt.job().spec();
      if (spec.isService()) {
        attempts.stop(attempt, 0);
      } else if (spec.checkpointIntervalS() > 0 && spec.checkpointSaveS() > 0) {
        attempts.stopWithGang(attempt, spec.checkpointSaveS() + SAVE_SLACK_S);
      }
    }
  }
}
