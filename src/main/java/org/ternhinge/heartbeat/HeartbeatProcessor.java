package org.ternhinge.heartbeat;

import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.attempt.AgentStatusSink;
import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.attempt.AttemptObserver;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.AgentState;
import org.ternhinge.machine.BootTimes;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineDescription;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.ReportedTasks;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.Clock;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.scaling.MachineProvisioner;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.JobSpec;

/**
 * Takes in what workers report, in the order in which they sent it, and says what they are told. A
 * report that is older than what is known changes nothing, and one that shows the same tasks as the
 * last costs one comparison. Guarded by the controller's lock.
 */
public final class HeartbeatProcessor implements AgentStatusSink {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);

  /**
   * A worker whose epoch ends at least so long before its lease was to end did not get the answers
   * that renewed the lease.
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

  public HeartbeatProcessor(
      LeadershipContext context,
      MachineRegistry machines,
      AttemptObserver observer,
      ReportedTasks reportedTasks,
      AttemptLifecycle attempts,
      MachineProvisioner provisioner,
      HeartbeatCommands answers,
      BootTimes bootTimes) {
    this.observer = observer;
    this.reportedTasks = reportedTasks;
    this.attempts = attempts;
    this.machines = machines;
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
  public Optional<List<Command>> heartbeat(Heartbeat heartbeat, boolean mayCommand) {
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
    if (machine.cloud().isTerminated()) {
      return Optional.empty();
    }
    if (heartbeat.epoch().compareTo(machine.agent().epoch()) < 0
        || machine.agent().hasEnded(heartbeat.epoch())) {
      // Held back by a cut, as a rule: the machine may be about to return, so it is kept for
      // longer.
      machine.agent().extendLease(leaseFrom(now));
      return Optional.empty();
    }
    boolean fresh = take(machine, heartbeat, true, now);
    if (!fresh) {
      // It was overtaken by an answer to a command, or is a copy: it was sent before that answer
      // was
      // taken in. What it shows is old, but a worker that hears this must not miss a stop by it.
      machine.agent().extendLease(leaseFrom(machine.agent().lastHeartbeat()));
      return Optional.of(mayCommand ? answers.stops(machine) : List.of());
    }
    if (heartbeat.fencingToken().compareTo(authority.term()) < 0
        && machine.agent().wasAnsweredIn(authority.term())) {
      missedAnswer(machine, now);
    }
    machine.agent().answeredIn(authority.term());
    // The report was sent before now, so a lease counted from now ends no sooner than the worker's.
    machine.agent().extendLease(leaseFrom(now));
    return Optional.of(mayCommand ? answers.commands(machine, heartbeat) : List.of());
  }

  private SteadyTime leaseFrom(SteadyTime answered) {
    return answered.plusSeconds(
        settings.workers().leaseS() * (1 + Settings.DRIFT) + tuning.marginS());
  }

  @Override
  public boolean take(Machine machine, Heartbeat heartbeat, boolean isHeartbeat, SteadyTime now) {
    AgentState agent = machine.agent();
    if (agent.isOutdated(heartbeat)) {
      return false;
    }
    if (heartbeat.epoch().compareTo(agent.epoch()) > 0) {
      beginEpoch(machine, heartbeat.epoch(), now);
    }
    agent.sequence(heartbeat.sequence());
    takeFencingToken(machine, heartbeat);
    takeAttributes(machine, heartbeat);
    boolean first = !agent.isHeard();
    agent.heard(now);
    if (first) {
      firstHeartbeat(machine, now);
    }
    takeEndpoint(machine, heartbeat);
    if (heartbeat.reclaimNoticeS() != null && !machine.cloud().isReclaimed()) {
      machine.cloud().reclaimAt(now.plusSeconds(heartbeat.reclaimNoticeS()));
      stopBeforeLoss(machine, heartbeat.reclaimNoticeS());
    }
    if (!machine.tasks().equals(heartbeat.tasks())) {
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
    for (Attempt attempt : List.copyOf(ledger.attemptsOn(machine.id()))) {
      if (attempt.epoch().compareTo(epoch) < 0) {
        attempts.close(attempt, false, "agent epoch over");
      }
    }
    machine.outstandingStarts().clear();
    machine.outbox().clear();
    machine.agent().beginEpoch(epoch);
    if (machine.agent().wasAnswered()
        && machine.agent().leaseExpiry().secondsSince(now) > LAPSE_S) {
      // It was answered lately, and its lease has ended for want of an answer.
      machine.health().reachability().leaseLapsed(now, this::othersReachable);
    }
    // An epoch may have begun just now, and lasts a whole lease without any answer.
    machine.agent().extendLease(leaseFrom(now));
  }

  private static void takeFencingToken(Machine machine, Heartbeat heartbeat) {
    machine.agent().observeFencingToken(heartbeat.fencingToken());
    machine.outstandingStarts().observeFencingToken(heartbeat.fencingToken());
  }

  private void takeAttributes(Machine machine, Heartbeat heartbeat) {
    if (!machine.description().matches(heartbeat.type(), heartbeat.zone(), heartbeat.spot())) {
      machine.describe(
          MachineDescription.of(
              heartbeat.type(), heartbeat.zone(), heartbeat.spot(), settings.zones()));
    }
  }

  private void firstHeartbeat(Machine machine, SteadyTime now) {
    machine.invalidateView();
    if (ledger.attemptsOn(machine.id()).isEmpty()) {
      machine.markIdle(now);
    }
    bootTimes.cameUp(machine, now);
    provisioner.seen(machine.id());
    rounds.requestRound();
  }

  private static void takeEndpoint(Machine machine, Heartbeat heartbeat) {
    try {
      machine.agent().endpoint(heartbeat.endpoint());
    } catch (IllegalArgumentException e) {
      LOG.warn("machine {}: no usable endpoint in its heartbeat", machine.id());
    }
  }

  /** A heartbeat shows no trace of what an answer before it has told. */
  private void missedAnswer(Machine machine, SteadyTime now) {
    machine.health().reachability().answerMissed(now, this::othersReachable);
    if (machine.health().reachability().unreachable()) {
      rounds.requestRound();
    }
  }

  /** Where many workers seem unreachable at once, the fault is this node's, not theirs. */
  private boolean othersReachable() {
    int unreachable = 0;
    for (Machine machine : machines.all()) {
      unreachable += machine.health().reachability().unreachable() ? 1 : 0;
    }
    int fleetPart = machines.all().size() / MAX_UNREACHABLE_FLEET_PART;
    return unreachable < Math.max(MAX_UNREACHABLE, fleetPart);
  }

  /** The cloud takes the machine soon: replicas start elsewhere, other tasks save what they can. */
  private void stopBeforeLoss(Machine machine, double seconds) {
    LOG.info("machine {}: spot reclaim notice, {} s left", machine.id(), seconds);
    for (Attempt attempt : List.copyOf(ledger.attemptsOn(machine.id()))) {
      JobSpec spec = attempt.job().spec();
      if (spec.isService()) {
        attempts.stop(attempt, 0);
      } else if (spec.checkpointIntervalS() > 0 && spec.checkpointSaveS() > 0) {
        attempts.stopWithGang(attempt, spec.checkpointSaveS() + SAVE_SLACK_S);
      }
    }
  }
}
