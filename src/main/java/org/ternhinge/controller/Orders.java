package org.ternhinge.controller;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.config.Settings;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Session;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.TaskReport;
import org.ternhinge.wire.WorkerReport;
import org.ternhinge.worker.Workers;

/**
 * Tells workers what to do: by direct orders, one at a time to a machine, and by the answers to
 * their reports. A direct start whose answer is lost stays a stray until nothing of it can arrive.
 */
final class Orders {
  private static final int MAX_COMMANDS = 400;

  private final Lead lead;
  private final Settings settings;
  private final Workers workers;
  private final Clock clock;
  private final Metrics metrics;
  private final Authority authority;
  private final Ledger ledger;

  Orders(Lead lead, Lead.Surroundings around, Authority authority, Ledger ledger) {
    this.lead = lead;
    this.settings = around.settings();
    this.workers = around.workers();
    this.clock = around.clock();
    this.metrics = around.metrics();
    this.authority = authority;
    this.ledger = ledger;
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
    if (m.directAfter != null && now.isBefore(m.directAfter)) {
      // The machine did not answer lately; its next report's answer carries the commands.
      m.outbox.clear();
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
        m.strayStarts.addTo(Machine.key(c), 1);
      }
      commands.add(c);
    }
    if (commands.isEmpty()) {
      return;
    }
    m.orderInFlight = true;
    Session session = m.session;
    SteadyTime sent = now;
    workers
        .order(m.endpoint, authority.term(), session, commands)
        .whenComplete((o, e) -> lead.locked(() -> ordered(m, session, commands, o, sent)));
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
      Outcome<Workers.Answer> outcome,
      SteadyTime sent) {
    m.orderInFlight = false;
    SteadyTime now = clock.now();
    if (outcome instanceof Outcome.Applied<Workers.Answer> applied) {
      WorkerReport r = applied.value().report();
      if (r.token().compareTo(authority.term()) > 0) {
        authority.lost("a worker has seen term " + r.token());
        return;
      }
      settleStrays(m, session, commands);
      m.hearing.heard();
      metrics.ordered(now.secondsSince(sent));
      lead.take(m, r, false, now);
    } else if (outcome instanceof Outcome.NotApplied<Workers.Answer> not
        && not.reason() == Reason.NO_CONNECTION) {
      settleStrays(m, session, commands);
      m.directAfter = now.plusSeconds(settings.workers().reportS());
    } else {
      // The order may yet arrive: its starts stay strays until the session ends.
      m.directAfter = now.plusSeconds(settings.workers().reportS());
    }
    order(m);
  }

  private void settleStrays(Machine m, Session session, List<Command> commands) {
    if (!session.equals(m.session)) {
      return;
    }
    for (Command c : commands) {
      if (c.op() == Command.Op.START) {
        String key = Machine.key(c);
        if (m.strayStarts.addTo(key, -1) <= 1) {
          m.strayStarts.removeInt(key);
        }
      }
    }
  }

  /** What a worker is to do, by its newest report. */
  List<Command> commands(Machine m, WorkerReport r, SteadyTime now) {
    List<Command> out = new ArrayList<>();
    for (TaskReport t : r.tasks()) {
      Job job = ledger.job(t.task().job());
      Attempt open = job == null ? null : job.open(t.task().index());
      boolean known =
          open != null && open.number().equals(t.attempt()) && open.machine().equals(m.id);
      if (known) {
        continue;
      }
      if (!t.ended()) {
        // Not in the ledger, so nobody may have it run.
        out.add(new Command(Command.Op.STOP, t.task(), t.attempt(), 0));
      } else if ((job == null || job.recorded(t.task().index()))
          && m.strayStarts.getInt(Machine.key(t)) == 0) {
        // Only now: after this the worker forgets the attempt, and a repeated start would run it.
        out.add(new Command(Command.Op.FORGET, t.task(), t.attempt(), 0));
      }
    }
    for (Attempt a : ledger.attemptsOn(m.id)) {
      if (!a.session().equals(r.session()) || out.size() >= MAX_COMMANDS) {
        continue;
      }
      if (a.stopping()) {
        if (a.seen() != Attempt.Seen.UNSEEN) {
          double left = Math.max(0, a.stopGraceS() - now.secondsSince(a.stopAt()));
          if (a.seen() != Attempt.Seen.SAVING) {
            out.add(new Command(Command.Op.STOP, a.task(), a.number(), a.stopGraceS()));
          } else if (left == 0 && a.stopGraceS() == 0) {
            out.add(new Command(Command.Op.STOP, a.task(), a.number(), 0));
          }
        }
      } else if (a.seen() == Attempt.Seen.UNSEEN && a.durable() && !a.recovered()) {
        a.startAnswered(r.sequence());
        out.add(new Command(Command.Op.START, a.task(), a.number(), 0));
      }
    }
    return out;
  }

  /** Asks a machine that seems deaf for a sign; an order of nothing is answered with a report. */
  void call(Machine m, SteadyTime now) {
    m.orderInFlight = true;
    Session session = m.session;
    workers
        .order(m.endpoint, authority.term(), session, List.of())
        .whenComplete((o, e) -> lead.locked(() -> ordered(m, session, List.of(), o, now)));
  }
}
