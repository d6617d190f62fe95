package org.ternhinge.controller;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Session;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.Flavor;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.TaskReport;
import org.ternhinge.wire.TaskState;
import org.ternhinge.wire.WorkerReport;

/**
 * Takes in what workers report, in the order in which they sent it, and settles attempts by it:
 * what a report shows as ended, or proves to be gone, is closed in the ledger. A report that is
 * older than what is known changes nothing, and one that shows the same tasks as the last costs one
 * comparison. Guarded by the controller's lock.
 */
final class ReportProcessor implements ReportSink, ReportedTasks {
  private static final Logger LOG = LoggerFactory.getLogger(ReportProcessor.class);

  /**
   * A session that ends at least so long before its lease was to end did not hear the answers that
   * renewed the lease.
   */
  private static final double LAPSE_S = 2;

  /**
   * So many machines may seem not to hear before that is taken for this node's own trouble; a tenth
   * of the fleet where that is more.
   */
  private static final int MAX_DEAF = 3;

  private static final int MAX_DEAF_FLEET_PART = 10;

  /** How long nothing is placed on a machine that refused a task for want of room. */
  private static final double NO_ROOM_S = 5;

  /** How long a job rests after an end whose reason the worker does not know. */
  private static final double UNKNOWN_END_S = 3;

  /** A job that fails on so many machines is at fault itself. */
  private static final int JOB_AT_FAULT_MACHINES = 3;

  /** A failing job rests for so long at first, twice as long after each further machine. */
  private static final double FAILING_JOB_FIRST_S = 2;

  private static final double FAILING_JOB_MAX_S = 60;

  /** Tasks that have to fail in a row on a machine before the machine is taken for sick. */
  private static final int SICK_AFTER_ERRORS = 2;

  private static final double SICK_S = 600;

  /** Beyond the time for saving, what a task that is told of its machine's end may take. */
  private static final double SAVE_SLACK_S = 1;

  private final AttemptLifecycle attempts;
  private final MachineRegistry machines;
  private final RoundTrigger rounds;
  private final Settings settings;
  private final Tuning tuning;
  private final Clock clock;
  private final Metrics metrics;
  private final Authority authority;
  private final Ledger ledger;
  private final Map<String, Flavor> flavors;
  private final Map<JobId, JobFailures> failures;
  private final Rentals rentals;
  private final CommandDispatcher commands;

  /** How many machines show each task that has not ended. */
  private final Object2IntOpenHashMap<TaskId> shown = new Object2IntOpenHashMap<>();

  ReportProcessor(
      AttemptLifecycle attempts,
      MachineRegistry machines,
      RoundTrigger rounds,
      ControllerServices services,
      Authority authority,
      Ledger ledger,
      Map<String, Flavor> flavors,
      Map<JobId, JobFailures> failures,
      Rentals rentals,
      CommandDispatcher commands) {
    this.attempts = attempts;
    this.machines = machines;
    this.rounds = rounds;
    this.settings = services.settings();
    this.tuning = services.tuning();
    this.clock = services.clock();
    this.metrics = services.metrics();
    this.authority = authority;
    this.ledger = ledger;
    this.flavors = flavors;
    this.failures = failures;
    this.rentals = rentals;
    this.commands = commands;
  }

  @Override
  public boolean ghost(TaskId task) {
    return shown.containsKey(task);
  }

  /**
   * Takes in a report and says what the worker is to do; empty where it must not be answered. An
   * answer renews the lease of a worker that hears it, so there is none for what is held to be
   * gone: such a report is a late copy, which nobody waits for, or shows that the evidence was
   * wrong, and then the lease's end is what stops the tasks.
   */
  Optional<List<Command>> report(WorkerReport report, boolean mayCommand) {
    SteadyTime now = clock.now();
    if (report.token().compareTo(authority.term()) > 0) {
      authority.lost("a worker has seen term " + report.token());
      return Optional.empty();
    }
    if (machines.wasRemoved(report.machine())) {
      // A late copy: what is certainly gone must not come back to life by it.
      return Optional.empty();
    }
    Machine machine = machines.findOrAdd(report.machine(), now);
    if (machine.gone) {
      return Optional.empty();
    }
    if (report.session().compareTo(machine.session) < 0 || isOver(report.session(), machine)) {
      // Held back by a cut, as a rule: the machine may be about to return, so it is kept for
      // longer.
      machine.leaseEnds = leaseFrom(now).max(machine.leaseEnds);
      return Optional.empty();
    }
    boolean fresh = take(machine, report, true, now);
    if (!fresh) {
      // It was overtaken by an answer to an order, or is a copy: it was sent before that answer was
      // taken in. What it shows is old, but a worker that hears this must not miss a stop by it.
      machine.leaseEnds = leaseFrom(machine.lastReport).max(machine.leaseEnds);
      return Optional.of(mayCommand ? commands.stops(machine) : List.of());
    }
    if (report.token().compareTo(authority.term()) < 0
        && authority.term().equals(machine.answered)) {
      missedAnswer(machine, now);
    }
    machine.answered = authority.term();
    // The report was sent before now, so a lease counted from now ends no sooner than the worker's.
    machine.leaseEnds = leaseFrom(now).max(machine.leaseEnds);
    return Optional.of(mayCommand ? commands.commands(machine, report) : List.of());
  }

  private static boolean isOver(Session session, Machine machine) {
    return session.compareTo(machine.deadSession) <= 0;
  }

  private SteadyTime leaseFrom(SteadyTime answered) {
    return answered.plusSeconds(
        settings.workers().leaseS() * (1 + Settings.DRIFT) + tuning.marginS());
  }

  @Override
  public boolean take(Machine machine, WorkerReport report, boolean isReport, SteadyTime now) {
    int newer = report.session().compareTo(machine.session);
    boolean old = newer < 0 || (newer == 0 && report.sequence() <= machine.sequence);
    if (old || isOver(report.session(), machine)) {
      return false;
    }
    if (newer > 0) {
      beginSession(machine, report.session(), now);
    }
    machine.sequence = report.sequence();
    takeToken(machine, report);
    takeAttributes(machine, report);
    machine.lastReport = now;
    if (!machine.reported) {
      firstReport(machine, now);
    }
    takeEndpoint(machine, report);
    if (report.noticeS() != null && machine.noticeAt == null) {
      machine.noticeAt = now.plusSeconds(report.noticeS());
      stopBeforeLoss(machine, report.noticeS());
    }
    if (!machine.tasks.equals(report.tasks())) {
      show(machine, report.tasks());
      observeAll(machine, report, now);
    }
    if (settleUnshown(machine, report, isReport)) {
      missedAnswer(machine, now);
    }
    return true;
  }

  /** The worker's lease ran out: everything of its earlier sessions is gone. */
  private void beginSession(Machine machine, Session session, SteadyTime now) {
    for (Attempt attempt : List.copyOf(ledger.attemptsOn(machine.id))) {
      if (attempt.session().compareTo(session) < 0) {
        attempts.close(attempt, false, "session over");
      }
    }
    machine.forgetStrays();
    machine.outbox.clear();
    machine.session = session;
    if (machine.answered != null && machine.leaseEnds.secondsSince(now) > LAPSE_S) {
      // It was answered lately, and its lease has ended for want of an answer.
      machine.hearing.lapsed(now, this::othersHear);
    }
    // A session may have begun just now, and lasts a whole lease without any answer.
    machine.leaseEnds = leaseFrom(now).max(machine.leaseEnds);
  }

  private static void takeToken(Machine machine, WorkerReport report) {
    if (report.token().compareTo(machine.token) > 0) {
      machine.token = report.token();
    }
    machine.sawToken(report.token());
  }

  private void takeAttributes(Machine machine, WorkerReport report) {
    if (report.type().equals(machine.type)
        && report.zone().equals(machine.zoneName)
        && machine.spot == report.spot()) {
      return;
    }
    machine.type = report.type();
    machine.zoneName = report.zone();
    machine.zone = settings.zones().indexOf(report.zone());
    machine.spot = report.spot();
    machine.view = null;
  }

  private void firstReport(Machine machine, SteadyTime now) {
    machine.reported = true;
    machine.view = null;
    if (machine.rentedAt != null && ledger.attemptsOn(machine.id).isEmpty()) {
      machine.idleSince = now;
    }
    rentals.seen(machine.id);
    rounds.requestRound();
  }

  private static void takeEndpoint(Machine machine, WorkerReport report) {
    if (machine.endpoint != null && machine.endpointText.equals(report.endpoint())) {
      return;
    }
    try {
      machine.endpoint = Endpoint.parse(report.endpoint());
      machine.endpointText = report.endpoint();
    } catch (IllegalArgumentException e) {
      LOG.warn("machine {} reports no usable endpoint", machine.id);
    }
  }

  /** A report shows no trace of what an answer before it has told. */
  private void missedAnswer(Machine machine, SteadyTime now) {
    machine.hearing.missed(now, this::othersHear);
    if (machine.hearing.deaf()) {
      rounds.requestRound();
    }
  }

  /** Where many machines seem deaf at once it is the way from this node, not they. */
  private boolean othersHear() {
    int deaf = 0;
    for (Machine machine : machines.all()) {
      deaf += machine.hearing.deaf() ? 1 : 0;
    }
    return deaf < Math.max(MAX_DEAF, machines.all().size() / MAX_DEAF_FLEET_PART);
  }

  /** Keeps count of what the machines show, by the difference to a machine's last message. */
  @Override
  public void show(Machine machine, List<TaskReport> tasks) {
    for (TaskReport task : machine.tasks) {
      if (!task.ended() && shown.addTo(task.task(), -1) <= 1) {
        shown.removeInt(task.task());
      }
    }
    for (TaskReport task : tasks) {
      if (!task.ended()) {
        shown.addTo(task.task(), 1);
      }
    }
    machine.tasks = tasks;
    machine.shownIn = ++machine.messages;
    machine.view = null;
  }

  private void observeAll(Machine machine, WorkerReport report, SteadyTime now) {
    for (TaskReport task : report.tasks()) {
      Job job = ledger.job(task.task().job());
      Attempt attempt = job == null ? null : job.open(task.task().index());
      if (attempt != null
          && attempt.number().equals(task.attempt())
          && attempt.machine().equals(machine.id)
          && attempt.session().equals(report.session())) {
        attempt.shownIn(machine.shownIn);
        observe(machine, attempt, task, now);
      }
    }
  }

  private void observe(Machine machine, Attempt attempt, TaskReport task, SteadyTime now) {
    if (task.ended()) {
      ended(machine, attempt, task.why(), now);
      return;
    }
    Attempt.Seen before = attempt.seen();
    Attempt.Seen seen = seen(task.state());
    attempt.see(seen, now);
    JobSpec spec = attempt.job().spec();
    if (seen != Attempt.Seen.FETCHING || machine.images.containsKey(spec.image())) {
      hasImage(machine, spec);
    }
    if (attempt.recovered()) {
      return;
    }
    if (before == Attempt.Seen.UNSEEN) {
      machine.hearing.obeyed();
    }
    if (before != seen && seen == Attempt.Seen.RUNNING) {
      metrics.started(now.secondsSince(attempt.openedAt()));
    }
  }

  private static Attempt.Seen seen(TaskState state) {
    return switch (state) {
      case FETCHING -> Attempt.Seen.FETCHING;
      case WAITING -> Attempt.Seen.WAITING;
      case SAVING -> Attempt.Seen.SAVING;
      default -> Attempt.Seen.RUNNING;
    };
  }

  private void hasImage(Machine machine, JobSpec spec) {
    Flavor flavor = flavors.get(machine.type);
    double cacheGb = flavor == null ? Double.MAX_VALUE : flavor.cacheGb();
    machine.hasImage(spec.image(), spec.imageGb(), cacheGb);
  }

  /**
   * Looks at the open attempts that the machine does not show.
   *
   * @return whether it lacks a start that an answer has carried before
   */
  private boolean settleUnshown(Machine machine, WorkerReport report, boolean isReport) {
    List<Attempt> unshown = null;
    for (Attempt attempt : ledger.attemptsOn(machine.id)) {
      if (attempt.shownIn() != machine.shownIn && attempt.session().equals(report.session())) {
        unshown = unshown == null ? new ArrayList<>() : unshown;
        unshown.add(attempt);
      }
    }
    if (unshown == null) {
      return false;
    }
    boolean missedStart = false;
    for (Attempt attempt : unshown) {
      missedStart |= absent(machine, attempt, report, isReport);
    }
    return missedStart;
  }

  /**
   * The worker does not show an open attempt. That proves it gone only if no start of it can still
   * arrive: an earlier leader's can't once the worker has seen this term; an own one can't once the
   * worker has shown it, or if it went out in an answer alone and a later report has come.
   *
   * @return whether the worker has missed the answer that carried the start
   */
  private boolean absent(Machine machine, Attempt attempt, WorkerReport report, boolean isReport) {
    if (!attempt.durable()) {
      return false;
    }
    if (attempt.recovered()) {
      if (report.token().compareTo(authority.term()) >= 0) {
        attempts.close(attempt, false, "never arrived or is gone");
      }
      return false;
    }
    if (attempt.seen() != Attempt.Seen.UNSEEN) {
      attempts.close(attempt, false, "vanished");
      return false;
    }
    boolean inAnswer = attempt.startAnswered() >= 0;
    boolean answerSettled = !inAnswer || (isReport && report.sequence() > attempt.startAnswered());
    if (!attempt.stopping()) {
      return isReport && inAnswer && answerSettled;
    }
    if (answerSettled && machine.strayStarts.getInt(Machine.key(attempt)) == 0) {
      attempts.close(attempt, false, "stopped before it started");
    }
    return false;
  }

  private void ended(Machine machine, Attempt attempt, EndReason why, SteadyTime now) {
    Job job = attempt.job();
    if (LOG.isDebugEnabled()) {
      LOG.debug("{} attempt {} on {} ended: {}", attempt.task(), attempt.number(), machine.id, why);
    }
    switch (why) {
      case DONE -> {
        machine.errorsInARow = 0;
        machine.errorJobs.clear();
        failures.remove(job.spec().id());
      }
      case ERROR -> failed(machine, job, now);
      case NO_ROOM -> machine.noRoomUntil = now.plusSeconds(NO_ROOM_S);
      case UNKNOWN -> failuresOf(job).until = now.plusSeconds(UNKNOWN_END_S);
      default -> {}
    }
    if (attempt.seen() == Attempt.Seen.RUNNING && why != EndReason.ERROR) {
      hasImage(machine, job.spec());
    }
    attempts.close(attempt, why == EndReason.DONE, why.word());
  }

  private JobFailures failuresOf(Job job) {
    return failures.computeIfAbsent(job.spec().id(), id -> new JobFailures());
  }

  /**
   * A task failed by itself. A machine is taken for sick when tasks fail on it in a row, not when
   * one job fails everywhere: such a job is put off for longer and longer and counts once.
   */
  private void failed(Machine machine, Job job, SteadyTime now) {
    JobFailures failed = failuresOf(job);
    failed.failedOn(machine.id, now);
    if (failed.machines() >= JOB_AT_FAULT_MACHINES) {
      double rest = FAILING_JOB_FIRST_S * Math.pow(2, failed.machines() - JOB_AT_FAULT_MACHINES);
      failed.until = now.plusSeconds(Math.min(FAILING_JOB_MAX_S, rest));
      return;
    }
    machine.errorsInARow++;
    machine.errorJobs.add(job.spec().id());
    if (machine.errorsInARow >= SICK_AFTER_ERRORS && !machine.sick(now)) {
      machine.sickUntil = now.plusSeconds(SICK_S);
      LOG.info("machine {} fails its tasks and is set aside", machine.id);
    }
  }

  /** The cloud takes the machine soon: replicas start elsewhere, other tasks save what they can. */
  private void stopBeforeLoss(Machine machine, double seconds) {
    LOG.info("machine {} will be taken in {} s", machine.id, seconds);
    for (Attempt attempt : List.copyOf(ledger.attemptsOn(machine.id))) {
      JobSpec spec = attempt.job().spec();
      if (spec.isService()) {
        attempts.stop(attempt, 0);
      } else if (spec.checkpointS() > 0 && spec.saveS() > 0) {
        attempts.stopWithGang(attempt, spec.saveS() + SAVE_SLACK_S);
      }
    }
  }
}
