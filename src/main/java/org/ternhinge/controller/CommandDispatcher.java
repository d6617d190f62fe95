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
 * their reports. A direct start whose answer is lost stays outstanding until nothing of it can
 * arrive.
 */
final class CommandDispatcher {
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
  private final int most;

  private int underWay;

  /** Machines with something to be told, until an order under way has come back. */
  private final LinkedHashSet<Machine> queue = new LinkedHashSet<>();

  CommandDispatcher(
      LeadershipExecutor executor,
      ReportSink reports,
      ControllerServices around,
      Authority authority,
      Ledger ledger) {
    this.executor = executor;
    this.reports = reports;
    this.settings = around.settings();
    this.workers = around.workers();
    this.clock = around.clock();
    this.metrics = around.metrics();
    this.authority = authority;
    this.ledger = ledger;
    this.most = SocketShares.of(settings.maxSockets()).calls();
  }

  /** Whether another order may go out now. */
  boolean free() {
    return spare() > 0;
  }

  /** Sends what waits for a machine, one order at a time so that orders keep their sequence. */
  void order(Machine m) {
    SteadyTime now = clock.now();
    if (m.orderInFlight || m.outbox.isEmpty()) {
      return;
    }
    if (!authority.valid() || m.endpoint == null || m.gone) {
      m.outbox.clear();
      return;
    }
    boolean silent =
        m.lastReport == null
            || now.secondsSince(m.lastReport) > SILENT_REPORTS * settings.workers().reportS();
    if (silent || (m.directAfter != null && now.isBefore(m.directAfter))) {
      // The machine did not answer lately; its next report's answer carries the commands. Orders to
      // a whole zone that is cut off would keep all others waiting for their time-outs.
      m.outbox.clear();
      return;
    }
    if (!free()) {
      queue.add(m);
      return;
    }
    List<Command> commands = new ArrayList<>();
    while (!m.outbox.isEmpty() && commands.size() < MAX_COMMANDS) {
      Command c = m.outbox.poll();
      if (c.op() == Command.Op.START) {
        Attempt a = openAttempt(c);
        if (a == null || a.stopping() || !a.durable() || !a.session().equals(m.session)) {
          continue;
        }
        m.outstandingStarts.addTo(Machine.key(c), 1);
      }
      commands.add(c);
    }
    if (commands.isEmpty()) {
      return;
    }
    m.orderInFlight = true;
    Session session = m.session;
    SteadyTime sent = now;
    send(m.endpoint, session, commands, o -> ordered(m, session, commands, o, sent));
  }

  /** The one way out to a worker, so that what is under way is counted. */
  private void send(
      Endpoint to, Session session, List<Command> commands, Consumer<Outcome<Answer>> then) {
    underWay++;
    workers
        .order(to, authority.term(), session, commands)
        .whenComplete(
            (o, e) ->
                executor.locked(
                    () -> {
                      underWay--;
                      then.accept(o);
                      while (free() && !queue.isEmpty()) {
                        Machine next = queue.iterator().next();
                        queue.remove(next);
                        order(next);
                      }
                    }));
  }

  /** Tells a worker of this term, whatever is known of it; the answer may say that it refuses. */
  void greet(Endpoint to, Session session, Consumer<Outcome<Answer>> then) {
    send(to, session, List.of(), then);
  }

  /** How many more orders may go out now. */
  int spare() {
    return Math.max(0, most - underWay);
  }

  private Attempt openAttempt(Command c) {
    Job job = ledger.job(c.task().job());
    Attempt a = job == null ? null : job.open(c.task().index());
    return a != null && a.number().equals(c.attempt()) ? a : null;
  }

  private void ordered(
      Machine m,
      Session session,
      List<Command> commands,
      Outcome<Answer> outcome,
      SteadyTime sent) {
    m.orderInFlight = false;
    SteadyTime now = clock.now();
    if (outcome instanceof Outcome.Applied<Answer> applied) {
      WorkerReport r = applied.value().report();
      if (r.token().compareTo(authority.term()) > 0) {
        authority.lost("a worker has seen term " + r.token());
        return;
      }
      settleOutstandingStarts(m, session, commands);
      m.commandReachability.answered();
      metrics.ordered(now.secondsSince(sent));
      reports.take(m, r, false, now);
    } else if (outcome instanceof Outcome.NotApplied<Answer> not
        && not.reason() == Reason.NO_CONNECTION) {
      settleOutstandingStarts(m, session, commands);
      m.directAfter = now.plusSeconds(settings.workers().reportS());
    } else {
      // The order may yet arrive: its starts stay outstanding until the session ends.
      m.directAfter = now.plusSeconds(settings.workers().reportS());
    }
    order(m);
  }

  private void settleOutstandingStarts(Machine m, Session session, List<Command> commands) {
    if (!session.equals(m.session)) {
      return;
    }
    for (Command c : commands) {
      if (c.op() == Command.Op.START) {
        String key = Machine.key(c);
        if (m.outstandingStarts.addTo(key, -1) <= 1) {
          m.outstandingStarts.removeInt(key);
        }
      }
    }
  }

  /**
   * What a worker is to do, by its newest report. Stops come first: they are what must not be cut
   * off where there is more to tell than one answer carries.
   */
  List<Command> commands(Machine m, WorkerReport r, SteadyTime now) {
    List<Command> out = new ArrayList<>();
    List<Command> forgets = new ArrayList<>();
    for (TaskReport t : r.tasks()) {
      if (ledger.holds(t, m.id)) {
        continue;
      }
      Job job = ledger.job(t.task().job());
      if (!t.ended()) {
        // Not in the ledger, so nobody may have it run.
        out.add(new Command(Command.Op.STOP, t.task(), t.attempt(), 0));
      } else if ((job == null || job.recorded(t.task().index()))
          && m.outstandingStarts.getInt(Machine.key(t)) == 0) {
        // Only now: after this the worker forgets the attempt, and a repeated start would run it.
        forgets.add(new Command(Command.Op.FORGET, t.task(), t.attempt(), 0));
      }
    }
    List<Command> starts = new ArrayList<>();
    for (Attempt a : ledger.attemptsOn(m.id)) {
      if (!a.session().equals(r.session())) {
        continue;
      }
      if (a.stopping()) {
        Command stop = stop(a, now);
        if (stop != null) {
          out.add(stop);
        }
      } else if (a.seen() == Attempt.Seen.UNSEEN
          && a.durable()
          && !a.recovered()
          && out.size() + forgets.size() + starts.size() < MAX_COMMANDS) {
        a.startAnswered(r.sequence());
        starts.add(new Command(Command.Op.START, a.task(), a.number(), 0));
      }
    }
    out.addAll(forgets);
    out.addAll(starts);
    return out.size() > MAX_COMMANDS ? out.subList(0, MAX_COMMANDS) : out;
  }

  /** The stops that are due on a machine, whatever its report at hand shows. */
  List<Command> stops(Machine m) {
    List<Command> out = new ArrayList<>();
    for (Attempt a : ledger.attemptsOn(m.id)) {
      Command stop = a.stopping() && a.session().equals(m.session) ? stop(a, clock.now()) : null;
      if (stop != null && out.size() < MAX_COMMANDS) {
        out.add(stop);
      }
    }
    return out;
  }

  private static Command stop(Attempt a, SteadyTime now) {
    if (a.seen() == Attempt.Seen.UNSEEN) {
      return null;
    }
    double left = Math.max(0, a.stopGraceS() - now.secondsSince(a.stopAt()));
    if (a.seen() != Attempt.Seen.SAVING) {
      return new Command(Command.Op.STOP, a.task(), a.number(), a.stopGraceS());
    }
    return left == 0 && a.stopGraceS() == 0
        ? new Command(Command.Op.STOP, a.task(), a.number(), 0)
        : null;
  }

  /** Probes a machine that seems unreachable; an order of nothing is answered with a report. */
  void call(Machine m, SteadyTime now) {
    m.orderInFlight = true;
    Session session = m.session;
    send(m.endpoint, session, List.of(), o -> ordered(m, session, List.of(), o, now));
  }
}
