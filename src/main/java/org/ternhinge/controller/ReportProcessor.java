package org.ternhinge.controller;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
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
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.Flavor;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.TaskReport;
import org.ternhinge.wire.WorkerReport;

/**
 * Takes in what workers say of themselves, in the order in which they said it, and settles attempts
 * by it. A report that shows nothing new costs a comparison.
 */
final class ReportProcessor implements ReportSink, ReportedTasks {
  private static final Logger LOG = LoggerFactory.getLogger(ReportProcessor.class);

  /** A session that ends so long before its lease can have ended was answered in vain. */
  private static final double LAPSE_S = 2;

  /** So many machines may seem unreachable before that is taken for this node's own trouble. */
  private static final int MAX_UNREACHABLE = 3;

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
  private final Map<JobId, JobFailures> jobFailures;
  private final Rentals rentals;
  private final CommandDispatcher orders;

  /** How many machines show each task that has not ended. */
  private final Object2IntOpenHashMap<TaskId> shown = new Object2IntOpenHashMap<>();

  /** Whether the message at hand lacks a start that an answer has carried before. */
  private boolean missedStart;

  ReportProcessor(
      AttemptLifecycle attempts,
      MachineRegistry machines,
      RoundTrigger rounds,
      ControllerServices around,
      Authority authority,
      Ledger ledger,
      Map<String, Flavor> flavors,
      Map<JobId, JobFailures> jobFailures,
      Rentals rentals,
      CommandDispatcher orders) {
    this.attempts = attempts;
    this.machines = machines;
    this.rounds = rounds;
    this.settings = around.settings();
    this.tuning = around.tuning();
    this.clock = around.clock();
    this.metrics = around.metrics();
    this.authority = authority;
    this.ledger = ledger;
    this.flavors = flavors;
    this.jobFailures = jobFailures;
    this.rentals = rentals;
    this.orders = orders;
  }

  @Override
  public boolean isShown(TaskId task) {
    return shown.containsKey(task);
  }

  /**
   * Takes in a report and says what the worker is to do; empty where it must not be answered. An
   * answer renews the lease of a worker that hears it, so there is none for what is held to be
   * gone: such a report is a late copy, which nobody waits for, or shows that the evidence was
   * wrong, and then the lease's end is what stops the tasks.
   */
  Optional<List<Command>> report(WorkerReport r, boolean mayCommand) {
    SteadyTime now = clock.now();
    if (r.token().compareTo(authority.term()) > 0) {
      authority.lost("a worker has seen term " + r.token());
      return Optional.empty();
    }
    if (machines.wasRemoved(r.machine())) {
      // A late copy: what is certainly gone must not come back to life by it.
      return Optional.empty();
    }
    Machine m = machines.findOrAdd(r.machine(), now);
    if (m.gone) {
      return Optional.empty();
    }
    if (r.session().compareTo(m.session) < 0 || r.session().compareTo(m.deadSession) <= 0) {
      // Held back by a cut, as a rule: the machine may be about to return, so it is kept for
      // longer.
      m.leaseEnds = leaseFrom(now).max(m.leaseEnds);
      return Optional.empty();
    }
    boolean fresh = take(m, r, true, now);
    if (!fresh) {
      // It was overtaken by an answer to an order, or is a copy: it was sent before that answer was
      // taken in. What it shows is old, but a worker that hears this must not miss a stop by it.
      m.leaseEnds = leaseFrom(m.lastReport).max(m.leaseEnds);
      return Optional.of(mayCommand ? orders.stops(m) : List.of());
    }
    if (r.token().compareTo(authority.term()) < 0 && authority.term().equals(m.answered)) {
      commandHadNoEffect(m, now);
    }
    m.answered = authority.term();
    // The report was sent before now, so a lease counted from now ends no sooner than the worker's.
    m.leaseEnds = leaseFrom(now).max(m.leaseEnds);
    return Optional.of(mayCommand ? orders.commands(m, r, now) : List.of());
  }

  private SteadyTime leaseFrom(SteadyTime answered) {
    return answered.plusSeconds(
        settings.workers().leaseS() * (1 + Settings.DRIFT) + tuning.marginS());
  }

  @Override
  public boolean take(Machine m, WorkerReport r, boolean isReport, SteadyTime now) {
    int newer = r.session().compareTo(m.session);
    if (newer < 0
        || (newer == 0 && r.sequence() <= m.sequence)
        || r.session().compareTo(m.deadSession) <= 0) {
      return false;
    }
    if (newer > 0) {
      // The worker's lease ran out: everything of its earlier sessions is gone.
      for (Attempt a : List.copyOf(ledger.attemptsOn(m.id))) {
        if (a.session().compareTo(r.session()) < 0) {
          attempts.close(a, false, "session over");
        }
      }
      m.forgetOutstandingStarts();
      m.outbox.clear();
      m.session = r.session();
      if (m.answered != null && m.leaseEnds.secondsSince(now) > LAPSE_S) {
        // It was answered lately, and its lease has ended for want of an answer.
        m.commandReachability.leaseLapsed(now, othersReachable());
      }
      // A session may have begun just now, and lasts a whole lease without any answer.
      m.leaseEnds = leaseFrom(now).max(m.leaseEnds);
    }
    m.sequence = r.sequence();
    if (r.token().compareTo(m.token) > 0) {
      m.token = r.token();
    }
    m.sawToken(r.token());
    if (!r.type().equals(m.type) || !r.zone().equals(m.zoneName) || m.spot != r.spot()) {
      m.type = r.type();
      m.zoneName = r.zone();
      m.zone = settings.zones().indexOf(r.zone());
      m.spot = r.spot();
      m.view = null;
    }
    m.lastReport = now;
    if (!m.reported) {
      m.reported = true;
      m.view = null;
      if (m.rentedAt != null && ledger.attemptsOn(m.id).isEmpty()) {
        m.idleSince = now;
      }
      rentals.seen(m.id);
      rounds.requestRound();
    }
    if (m.endpoint == null || !m.endpointText.equals(r.endpoint())) {
      try {
        m.endpoint = Endpoint.parse(r.endpoint());
        m.endpointText = r.endpoint();
      } catch (IllegalArgumentException e) {
        LOG.warn("machine {} reports no usable endpoint", m.id);
      }
    }
    if (r.noticeS() != null && m.noticeAt == null) {
      m.noticeAt = now.plusSeconds(r.noticeS());
      noticed(m, r.noticeS());
    }
    if (!m.tasks.equals(r.tasks())) {
      show(m, r.tasks());
      observeAll(m, r, now);
    }
    missedStart = false;
    for (Attempt a : List.copyOf(ledger.attemptsOn(m.id))) {
      if (a.shownIn() != m.shownIn && a.session().equals(r.session())) {
        absent(m, a, r, isReport);
      }
    }
    if (missedStart) {
      commandHadNoEffect(m, now);
    }
    return true;
  }

  private void commandHadNoEffect(Machine m, SteadyTime now) {
    m.commandReachability.noEffect(now, othersReachable());
    if (m.commandReachability.commandsLost()) {
      rounds.requestRound();
    }
  }

  /** Where many machines seem unreachable at once it is the way from this node, not they. */
  private boolean othersReachable() {
    int unreachable = 0;
    for (Machine m : machines.all()) {
      unreachable += m.commandReachability.commandsLost() ? 1 : 0;
    }
    return unreachable < Math.max(MAX_UNREACHABLE, machines.all().size() / 10);
  }

  /** Keeps count of what the machines show, by the difference to a machine's last message. */
  @Override
  public void show(Machine m, List<TaskReport> tasks) {
    for (TaskReport t : m.tasks) {
      if (!t.ended() && shown.addTo(t.task(), -1) <= 1) {
        shown.removeInt(t.task());
      }
    }
    for (TaskReport t : tasks) {
      if (!t.ended()) {
        shown.addTo(t.task(), 1);
      }
    }
    m.tasks = tasks;
    m.shownIn = ++m.messages;
    m.view = null;
  }

  private void observeAll(Machine m, WorkerReport r, SteadyTime now) {
    for (TaskReport t : r.tasks()) {
      Job job = ledger.job(t.task().job());
      Attempt a = job == null ? null : job.open(t.task().index());
      if (a != null
          && a.number().equals(t.attempt())
          && a.machine().equals(m.id)
          && a.session().equals(r.session())) {
        a.shownIn(m.shownIn);
        observe(m, a, t, now);
      }
    }
  }

  private void observe(Machine m, Attempt a, TaskReport t, SteadyTime now) {
    if (t.ended()) {
      ended(m, a, t, now);
      return;
    }
    Attempt.Seen before = a.seen();
    Attempt.Seen seen =
        switch (t.state()) {
          case FETCHING -> Attempt.Seen.FETCHING;
          case WAITING -> Attempt.Seen.WAITING;
          case SAVING -> Attempt.Seen.SAVING;
          default -> Attempt.Seen.RUNNING;
        };
    a.see(seen, now);
    JobSpec spec = a.job().spec();
    if (seen != Attempt.Seen.FETCHING || m.images.containsKey(spec.image())) {
      Flavor f = flavors.get(m.type);
      m.hasImage(spec.image(), spec.imageGb(), f == null ? Double.MAX_VALUE : f.cacheGb());
    }
    if (before == Attempt.Seen.UNSEEN && !a.recovered()) {
      m.commandReachability.tookEffect();
    }
    if (before != seen && seen == Attempt.Seen.RUNNING) {
      if (!a.recovered()) {
        metrics.started(now.secondsSince(a.openedAt()));
      }
    }
  }

  /**
   * The worker does not show an open attempt. That proves it gone only if no start of it can still
   * arrive: an earlier leader's can't once the worker has seen this term; an own one can't once the
   * worker has shown it, or if it went out in an answer alone and a later report has come.
   */
  private void absent(Machine m, Attempt a, WorkerReport r, boolean isReport) {
    if (!a.durable()) {
      return;
    }
    if (a.recovered()) {
      if (r.token().compareTo(authority.term()) >= 0) {
        attempts.close(a, false, "never arrived or is gone");
      }
      return;
    }
    if (a.seen() != Attempt.Seen.UNSEEN) {
      attempts.close(a, false, "vanished");
      return;
    }
    boolean answerSettled = a.startAnswered() < 0 || (isReport && r.sequence() > a.startAnswered());
    if (!a.stopping() && isReport && a.startAnswered() >= 0 && answerSettled) {
      missedStart = true;
    }
    if (a.stopping() && answerSettled && m.outstandingStarts.getInt(Machine.key(a)) == 0) {
      attempts.close(a, false, "stopped before it started");
    }
  }

  private void ended(Machine m, Attempt a, TaskReport t, SteadyTime now) {
    Job job = a.job();
    EndReason why = t.why();
    if (LOG.isDebugEnabled()) {
      LOG.debug("{} attempt {} on {} ended: {}", a.task(), a.number(), m.id, why);
    }
    switch (why) {
      case DONE -> {
        m.errorsInARow = 0;
        m.errorJobs.clear();
        jobFailures.remove(job.spec().id());
      }
      case ERROR -> failed(m, job, now);
      case NO_ROOM -> m.noRoomUntil = now.plusSeconds(5);
      case UNKNOWN -> failuresOf(job).until = now.plusSeconds(3);
      default -> {}
    }
    if (a.seen() == Attempt.Seen.RUNNING && why != EndReason.ERROR) {
      m.hasImage(job.spec().image(), job.spec().imageGb(), cacheOf(m));
    }
    attempts.close(a, why == EndReason.DONE, why.word());
  }

  private double cacheOf(Machine m) {
    Flavor f = flavors.get(m.type);
    return f == null ? Double.MAX_VALUE : f.cacheGb();
  }

  private JobFailures failuresOf(Job job) {
    return jobFailures.computeIfAbsent(job.spec().id(), k -> new JobFailures());
  }

  /**
   * A task failed by itself. A machine is taken for sick when tasks fail on it in a row, not when
   * one job fails everywhere: such a job is put off for longer and longer and counts once.
   */
  private void failed(Machine m, Job job, SteadyTime now) {
    JobFailures t = failuresOf(job);
    t.failedOn(m.id, now);
    if (t.machines() >= 3) {
      t.until = now.plusSeconds(Math.min(60, 2 * Math.pow(2, t.machines() - 3)));
      return;
    }
    m.errorsInARow++;
    m.errorJobs.add(job.spec().id());
    if (m.errorsInARow >= 2 && !m.sick(now)) {
      m.sickUntil = now.plusSeconds(600);
      LOG.info("machine {} fails its tasks and is set aside", m.id);
    }
  }

  private void noticed(Machine m, double seconds) {
    LOG.info("machine {} will be taken in {} s", m.id, seconds);
    for (Attempt a : List.copyOf(ledger.attemptsOn(m.id))) {
      JobSpec spec = a.job().spec();
      if (spec.isService()) {
        attempts.stop(a, 0);
      } else if (spec.checkpointS() > 0 && spec.saveS() > 0) {
        attempts.stopWithGang(a, spec.saveS() + 1);
      }
    }
  }
}
