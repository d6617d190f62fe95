package org.ternhinge.controller;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.Consumer;
import org.ternhinge.config.Settings;
import org.ternhinge.http.SocketShares;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Session;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.TaskReport;
import org.ternhinge.wire.WorkerReport;
import org.ternhinge.worker.Workers;
import org.ternhinge.worker.Workers.Answer;

/**
 * Tells workers what to do: by direct orders, one at a time to a machine, and by the answers to
 * their reports. A direct start whose answer is lost stays a stray until nothing of it can arrive,
 * and a worker is told to forget an attempt only when no start of it can come after. Guarded by the
 * controller's lock.
 */
final class CommandDispatcher {
  /** Commands that one message carries at most. */
  private static final int MAX_COMMANDS = 400;

  /** A machine that owes so many reports is not told anything directly. */
  private static final double SILENT_REPORTS = 2.5;

  private final LeadershipExecutor executor;
  private final ReportSink reports;
  private final Settings settings;
  private final Workers workers;
  private final Clock clock;
  private final Metrics metrics;
  private final Authority authority;
  private final Ledger ledger;

  /** Orders that may be under way at once; each takes a socket. */
  private final int maxUnderWay;

  private int underWay;

  /** Machines with something to be told, until an order under way has come back. */
  private final LinkedHashSet<Machine> queue = new LinkedHashSet<>();

  CommandDispatcher(
      LeadershipExecutor executor,
      ReportSink reports,
      ControllerServices services,
      Authority authority,
      Ledger ledger) {
    this.executor = executor;
    this.reports = reports;
    this.settings = services.settings();
    this.workers = services.workers();
    this.clock = services.clock();
    this.metrics = services.metrics();
    this.authority = authority;
    this.ledger = ledger;
    this.maxUnderWay = SocketShares.of(settings.maxSockets()).calls();
  }

  /** Whether another order may go out now. */
  boolean free() {
    return spare() > 0;
  }

  /** How many more orders may go out now. */
  int spare() {
    return Math.max(0, maxUnderWay - underWay);
  }

  // ---- direct orders --------------------------------------------------------------------------

  /** Sends what waits for a machine, one order at a time so that orders keep their sequence. */
  void order(Machine machine) {
    SteadyTime now = clock.now();
    if (machine.orderInFlight || machine.outbox.isEmpty()) {
      return;
    }
    if (!mayOrder(machine, now)) {
      machine.outbox.clear();
      return;
    }
    if (!free()) {
      queue.add(machine);
      return;
    }
    List<Command> commands = takeOutbox(machine);
    if (!commands.isEmpty()) {
      sendOrder(machine, commands, now);
    }
  }

  /**
   * Whether a machine may be told something directly. One that does not answer lately may not: its
   * next report's answer carries the commands, and orders to a whole zone that is cut off would
   * keep all others waiting for their time-outs.
   */
  private boolean mayOrder(Machine machine, SteadyTime now) {
    if (!authority.valid() || machine.endpoint == null || machine.gone) {
      return false;
    }
    double silentS = SILENT_REPORTS * settings.workers().reportS();
    if (machine.lastReport == null || now.secondsSince(machine.lastReport) > silentS) {
      return false;
    }
    return machine.directAfter == null || !now.isBefore(machine.directAfter);
  }

  /** Takes what is still wanted from a machine's outbox; its starts are strays from here on. */
  private List<Command> takeOutbox(Machine machine) {
    List<Command> commands = new ArrayList<>();
    while (!machine.outbox.isEmpty() && commands.size() < MAX_COMMANDS) {
      Command command = machine.outbox.poll();
      if (command.op() == Command.Op.START) {
        Attempt attempt = openAttempt(command);
        if (attempt == null || !mayStart(attempt, machine)) {
          continue;
        }
        machine.outstandingStarts.addTo(Machine.key(command), 1);
      }
      commands.add(command);
    }
    return commands;
  }

  private static boolean mayStart(Attempt attempt, Machine machine) {
    return !attempt.stopping() && attempt.durable() && attempt.session().equals(machine.session);
  }

  private Attempt openAttempt(Command command) {
    Job job = ledger.job(command.task().job());
    Attempt attempt = job == null ? null : job.open(command.task().index());
    return attempt != null && attempt.number().equals(command.attempt()) ? attempt : null;
  }

  private void sendOrder(Machine machine, List<Command> commands, SteadyTime now) {
    machine.orderInFlight = true;
    Session session = machine.session;
    send(
        machine.endpoint,
        session,
        commands,
        outcome -> ordered(machine, session, commands, outcome, now));
  }

  /** The one way out to a worker, so that what is under way is counted. */
  private void send(
      Endpoint to, Session session, List<Command> commands, Consumer<Outcome<Answer>> then) {
    underWay++;
    executor.whenAnswered(
        workers.order(to, authority.term(), session, commands), outcome -> cameBack(outcome, then));
  }

  private void cameBack(Outcome<Answer> outcome, Consumer<Outcome<Answer>> then) {
    underWay--;
    then.accept(outcome);
    while (free() && !queue.isEmpty()) {
      Machine next = queue.iterator().next();
      queue.remove(next);
      order(next);
    }
  }

  /** Tells a worker of this term, whatever is known of it; the answer may say that it refuses. */
  void announceTerm(Endpoint to, Session session, Consumer<Outcome<Answer>> then) {
    send(to, session, List.of(), then);
  }

  /** Asks a machine that seems deaf for a sign; an order of nothing is answered with a report. */
  void call(Machine machine, SteadyTime now) {
    sendOrder(machine, List.of(), now);
  }

  private void ordered(
      Machine machine,
      Session session,
      List<Command> commands,
      Outcome<Answer> outcome,
      SteadyTime sent) {
    machine.orderInFlight = false;
    SteadyTime now = clock.now();
    if (outcome instanceof Outcome.Applied<Answer> applied) {
      WorkerReport report = applied.value().report();
      if (report.token().compareTo(authority.term()) > 0) {
        authority.lost("a worker has seen term " + report.token());
        return;
      }
      settleOutstandingStarts(machine, session, commands);
      machine.reachability.probeAnswered();
      metrics.ordered(now.secondsSince(sent));
      reports.take(machine, report, false, now);
    } else {
      if (outcome instanceof Outcome.NotApplied<Answer> not
          && not.reason() != Reason.NO_CONNECTION) {
        settleOutstandingStarts(machine, session, commands);
      }
      // Otherwise the order may yet arrive: its starts stay strays until the session ends.
      machine.directAfter = now.plusSeconds(settings.workers().reportS());
    }
    order(machine);
  }

  private static void settleOutstandingStarts(
      Machine machine, Session session, List<Command> commands) {
    if (!session.equals(machine.session)) {
      return;
    }
    for (Command command : commands) {
      if (command.op() == Command.Op.START) {
        String key = Machine.key(command);
        if (machine.outstandingStarts.addTo(key, -1) <= 1) {
          machine.outstandingStarts.removeInt(key);
        }
      }
    }
  }

  // ---- answers to reports ---------------------------------------------------------------------

  /**
   * What a worker is to do, by its newest report. Stops come first: they are what must not be cut
   * off where there is more to tell than one answer carries.
   */
  List<Command> commands(Machine machine, WorkerReport report) {
    List<Command> stops = new ArrayList<>();
    List<Command> forgets = new ArrayList<>();
    addUnheld(machine, report, stops, forgets);
    List<Command> starts = new ArrayList<>();
    for (Attempt attempt : ledger.attemptsOn(machine.id)) {
      if (!attempt.session().equals(report.session())) {
        continue;
      }
      if (attempt.stopping()) {
        addStop(attempt, stops);
      } else if (awaitsStart(attempt)
          && stops.size() + forgets.size() + starts.size() < MAX_COMMANDS) {
        attempt.startAnswered(report.sequence());
        starts.add(new Command(Command.Op.START, attempt.task(), attempt.number(), 0));
      }
    }
    stops.addAll(forgets);
    stops.addAll(starts);
    return stops.size() > MAX_COMMANDS ? stops.subList(0, MAX_COMMANDS) : stops;
  }

  private static boolean awaitsStart(Attempt attempt) {
    return attempt.seen() == Attempt.Seen.UNSEEN && attempt.durable() && !attempt.recovered();
  }

  /**
   * What the worker shows and the ledger does not hold there: nobody may have such a task run, and
   * the worker may forget the end of one that is recorded. Only then: afterwards a repeated start
   * would run it.
   */
  private void addUnheld(
      Machine machine, WorkerReport report, List<Command> stops, List<Command> forgets) {
    for (TaskReport task : report.tasks()) {
      if (ledger.holds(task, machine.id)) {
        continue;
      }
      if (!task.ended()) {
        stops.add(new Command(Command.Op.STOP, task.task(), task.attempt(), 0));
      } else if (isRecorded(task) && machine.outstandingStarts.getInt(Machine.key(task)) == 0) {
        forgets.add(new Command(Command.Op.FORGET, task.task(), task.attempt(), 0));
      }
    }
  }

  private boolean isRecorded(TaskReport task) {
    Job job = ledger.job(task.task().job());
    return job == null || job.recorded(task.task().index());
  }

  /** The stops that are due on a machine, whatever its report at hand shows. */
  List<Command> stops(Machine machine) {
    List<Command> stops = new ArrayList<>();
    for (Attempt attempt : ledger.attemptsOn(machine.id)) {
      if (attempt.stopping()
          && attempt.session().equals(machine.session)
          && stops.size() < MAX_COMMANDS) {
        addStop(attempt, stops);
      }
    }
    return stops;
  }

  /**
   * Adds the stop of an attempt, unless its start was never seen to arrive, or it is saving within
   * the grace that it was given.
   */
  private static void addStop(Attempt attempt, List<Command> stops) {
    Attempt.Seen seen = attempt.seen();
    double graceS = attempt.stopGraceS();
    if (seen != Attempt.Seen.UNSEEN && (seen != Attempt.Seen.SAVING || graceS == 0)) {
      stops.add(new Command(Command.Op.STOP, attempt.task(), attempt.number(), graceS));
    }
  }
}
