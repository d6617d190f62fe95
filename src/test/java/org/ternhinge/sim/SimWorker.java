package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Session;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.Flavor;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.TaskReport;
import org.ternhinge.wire.TaskState;
import org.ternhinge.wire.WireException;
import org.ternhinge.wire.WorkerReport;
import org.ternhinge.worker.Workers;

/** A worker as the protocol page gives it: sessions, tokens, leases, tasks. */
public final class SimWorker {
  private static final double FETCH_S = 1;

  private final class Task {
    private final TaskId id;
    private final AttemptNumber attempt;
    private TaskState state = TaskState.FETCHING;
    private EndReason why;

    Task(TaskId id, AttemptNumber attempt) {
      this.id = id;
      this.attempt = attempt;
    }

    void end(EndReason reason) {
      if (state == TaskState.RUNNING) {
        world.left(SimWorker.this, id);
      }
      state = TaskState.ENDED;
      why = reason;
      changed();
    }
  }

  final SimCluster world;
  final MachineId id;
  final Flavor flavor;
  final String zone;
  final boolean spot;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private int session = 1;
  private long sequence;
  private Term token = Term.NONE;
  private SteadyTime leaseFrom;
  private int target;
  private int reports;
  boolean dead;
  SteadyTime cutUntil;

  /** Until then its reports arrive, but no answer and no command reaches it. */
  SteadyTime deafUntil;

  /** Until then its reports reach nobody, while commands reach it. */
  SteadyTime muteUntil;

  /** Until then it executes nothing; its lease runs on. */
  private SteadyTime hangUntil;

  private SteadyTime hungFrom;
  private double hungBefore;

  /** What has arrived while it hung, in order. */
  private final List<Runnable> waiting = new ArrayList<>();

  SimWorker(SimCluster world, MachineId id, Flavor flavor, String zone, boolean spot) {
    this.world = world;
    this.id = id;
    this.flavor = flavor;
    this.zone = zone;
    this.spot = spot;
    this.target = world.random.nextInt(world.nodeCount());
    this.leaseFrom = world.clock.now();
    watchLease();
    report();
  }

  public MachineId id() {
    return id;
  }

  boolean cut() {
    return cutUntil != null && world.clock.now().isBefore(cutUntil);
  }

  boolean deaf() {
    return deafUntil != null && world.clock.now().isBefore(deafUntil);
  }

  boolean mute() {
    return muteUntil != null && world.clock.now().isBefore(muteUntil);
  }

  boolean hung() {
    return hangUntil != null;
  }

  /** Stops executing; a hang that is under way may become longer. */
  void hang(double seconds) {
    SteadyTime end = world.clock.now().plusSeconds(seconds);
    if (hangUntil == null) {
      hungFrom = world.clock.now();
      hangUntil = end;
    } else {
      hangUntil = hangUntil.max(end);
    }
    world.clock.after(seconds, this::resume);
  }

  private void resume() {
    if (dead || hangUntil == null || world.clock.now().isBefore(hangUntil)) {
      return;
    }
    hungBefore += world.clock.now().secondsSince(hungFrom);
    hangUntil = null;
    checkLease();
    List<Runnable> held = List.copyOf(waiting);
    waiting.clear();
    held.forEach(Runnable::run);
    report();
  }

  private double hungSeconds() {
    return hungBefore + (hung() ? world.clock.now().secondsSince(hungFrom) : 0);
  }

  /** Runs an action after so many seconds in which the machine did execute. */
  private void afterWork(double seconds, Runnable action) {
    double before = hungSeconds();
    world.clock.after(
        seconds,
        () -> {
          double lost = hungSeconds() - before;
          if (hung()) {
            waiting.add(() -> afterWork(lost, action));
          } else if (lost > 0) {
            afterWork(lost, action);
          } else {
            action.run();
          }
        });
  }

  private void watchLease() {
    world.clock.after(
        0.5,
        () -> {
          if (dead) {
            return;
          }
          if (!hung()) {
            checkLease();
          } else if (leaseOver()) {
            // It can't go on with them; they are killed for certain when it resumes.
            tasks.values().forEach(this::kill);
          }
          watchLease();
        });
  }

  private boolean leaseOver() {
    return world.clock.now().secondsSince(leaseFrom) > SimCluster.LEASE_S;
  }

  private void checkLease() {
    if (leaseOver()) {
      tasks.values().forEach(this::kill);
      tasks.clear();
      session++;
      leaseFrom = world.clock.now();
    }
  }

  private void kill(Task t) {
    if (t.state == TaskState.RUNNING) {
      world.left(this, t.id);
    }
    t.state = TaskState.ENDED;
  }

  void die() {
    dead = true;
    tasks.values().forEach(this::kill);
    tasks.clear();
  }

  /** Its tasks are gone and its next session begins. */
  void restart() {
    tasks.values().forEach(this::kill);
    tasks.clear();
    session++;
    leaseFrom = world.clock.now();
    changed();
  }

  private void changed() {
    int before = reports;
    world.clock.after(
        0.5,
        () -> {
          if (!dead && !hung() && reports == before) {
            report();
          }
        });
  }

  String endpoint() {
    return "10.9.0.1:" + (1000 + Integer.parseInt(id.value().substring(2)));
  }

  private WorkerReport reportNow() {
    List<TaskReport> list = new ArrayList<>();
    for (Task t : tasks.values()) {
      list.add(new TaskReport(t.id, t.attempt, t.state, t.why, false));
    }
    return new WorkerReport(
        id,
        endpoint(),
        flavor.name(),
        zone,
        spot,
        new Session(session),
        ++sequence,
        token,
        null,
        list);
  }

  private void report() {
    if (dead || hung()) {
      return;
    }
    int mine = ++reports;
    int asked = target;
    int inSession = session;
    SteadyTime sent = world.clock.now();
    byte[] body = Json.bytes(reportNow().write());
    world.maybeCopy(id, body);
    boolean deaf = deaf();
    boolean held = world.troubles.heldBack(id, body);
    if (held || mute()) {
      CompletableFuture<Outcome<Response>> lost =
          held ? world.net.fail(false, 4) : world.troubles.mute(4);
      lost.thenAccept(o -> answered(o, inSession, sent, mine));
      return;
    }
    world
        .troubles
        .<Response>call(
            zone,
            FaultInjector.zoneOf(asked),
            () -> cut() || world.nodeCutFromWorkers(asked),
            4,
            to ->
                world.deliver(
                    asked,
                    new Request("POST", "/agent/beat", body),
                    r -> {
                      if (r.status() == 200) {
                        world.commanded(id, commands(r.body()));
                      }
                      if (!deaf) {
                        to.accept(Outcome.applied(r));
                      } else if (r.status() == 200) {
                        world.sent(id, commands(r.body()));
                      }
                    }))
        .thenAccept(o -> answered(o, inSession, sent, mine));
  }

  private void answered(Outcome<Response> outcome, int inSession, SteadyTime sent, int mine) {
    if (dead) {
      return;
    }
    if (hung()) {
      waiting.add(() -> answered(outcome, inSession, sent, mine));
      return;
    }
    boolean late = world.clock.now().secondsSince(sent) > 4;
    Outcome<Response> o = late ? Outcome.unknown("late") : outcome;
    double next = SimCluster.REPORT_S * (0.75 + world.random.nextDouble() / 2);
    if (o instanceof Outcome.Applied<Response> a && a.value().status() == 200) {
      if (inSession == session) {
        obey(a.value().body(), sent);
      }
    } else if (o instanceof Outcome.Applied<Response> a && a.value().status() == 421) {
      try {
        String name = Json.textOrNull(Json.parse(a.value().body()), "tilkynna_til");
        int to = name == null ? target : Integer.parseInt(name.substring(5));
        next = to == target ? 1 : 0.2;
        target = to == target ? (target + 1) % world.nodeCount() : to;
      } catch (WireException e) {
        throw new IllegalStateException(e);
      }
    } else {
      target = (target + 1) % world.nodeCount();
      next = 1;
    }
    world.clock.after(
        next,
        () -> {
          if (reports == mine) {
            report();
          }
        });
  }

  private static List<Command> commands(byte[] answer) {
    try {
      return Command.read(Json.parse(answer));
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }

  private void obey(byte[] body, SteadyTime sent) {
    try {
      var json = Json.parse(body);
      Term t = new Term(Json.count(json, "valdmerki"));
      if (t.compareTo(token) < 0) {
        return;
      }
      if (t.compareTo(token) > 0) {
        token = t;
        changed();
      }
      leaseFrom = sent;
      Command.read(json).forEach(this::run);
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A direct order arrives, perhaps long after it was sent. */
  void order(Term t, Session s, List<Command> commands, Consumer<Outcome<Workers.Answer>> to) {
    if (dead) {
      return;
    }
    if (hung()) {
      waiting.add(() -> order(t, s, commands, to));
      return;
    }
    if (t.compareTo(token) < 0 || s.value() != session) {
      to.accept(Outcome.applied(new Workers.Answer.Refused(reportNow())));
      return;
    }
    token = t;
    commands.forEach(this::run);
    to.accept(Outcome.applied(new Workers.Answer.Executed(reportNow())));
  }

  private void run(Command c) {
    String key = c.task() + "#" + c.attempt();
    Task t = tasks.get(key);
    switch (c.op()) {
      case START -> {
        if (t == null) {
          start(key, c);
        }
      }
      case STOP -> {
        if (t != null && t.state != TaskState.ENDED) {
          t.end(EndReason.STOPPED);
        }
      }
      default -> {
        if (t != null && t.state == TaskState.ENDED) {
          tasks.remove(key);
        }
      }
    }
  }

  private void start(String key, Command c) {
    Task t = new Task(c.task(), c.attempt());
    boolean busy = false;
    for (Task other : tasks.values()) {
      busy |= other.id.equals(t.id) && other.state != TaskState.ENDED;
    }
    tasks.put(key, t);
    if (busy) {
      t.end(EndReason.BUSY);
      return;
    }
    changed();
    JobSpec spec = world.spec(c.task().job());
    afterWork(
        FETCH_S,
        () -> {
          if (!dead && tasks.get(key) == t && t.state == TaskState.FETCHING) {
            t.state = TaskState.RUNNING;
            world.started(this, t.id, spec);
            changed();
            if (!spec.isService()) {
              afterWork(
                  spec.estimateS(),
                  () -> {
                    if (!dead && tasks.get(key) == t && t.state == TaskState.RUNNING) {
                      world.completed(t.id);
                      t.end(EndReason.DONE);
                    }
                  });
            }
          }
        });
  }
}
