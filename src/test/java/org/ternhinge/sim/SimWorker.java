package org.ternhinge.sim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.TaskStatus;
import org.ternhinge.worker.Workers;

/** A machine with its worker as the protocol has it: epochs, tokens, leases and tasks. */
public final class SimWorker {
  /** Time of an image fetch. */
  private static final double FETCH_S = 1;

  /** Heartbeats go out at most once in so long upon changes. */
  private static final double REPORT_GAP_S = 0.5;

  private static final double REPORT_TIMEOUT_S = 4;
  private static final double LEASE_CHECK_S = 0.5;

  /** How long a task runs that fails by itself. */
  private static final double FAILS_AFTER_S = 0.5;

  private final SimCluster cluster;
  private final MachineId id;
  final MachineType machineType;
  final String zone;
  final boolean spot;
  private final Map<String, SimTask> tasks = new LinkedHashMap<>();
  private final MachineHang hang;
  private int epoch = 1;
  private long sequence;
  private Term fencingToken = Term.NONE;
  final SteadyTime startedAt;
  private SteadyTime leaseFrom;
  private final HeartbeatTarget target;
  private int heartbeats;
  private boolean dead;

  /** Whether every task fails here. */
  boolean sick;

  /** Until then nothing passes in either direction. */
  SteadyTime cutUntil;

  /** Until then its heartbeats arrive, but no answer and no command reaches it. */
  SteadyTime deafUntil;

  /** Until then its heartbeats reach nobody, while commands reach it. */
  SteadyTime muteUntil;

  SimWorker(SimCluster cluster, MachineId id, MachineType machineType, String zone, boolean spot) {
    this.cluster = cluster;
    this.id = id;
    this.machineType = machineType;
    this.zone = zone;
    this.spot = spot;
    this.hang = new MachineHang(cluster.clock);
    this.target =
        new HeartbeatTarget(cluster.nodeCount(), cluster.random.nextInt(cluster.nodeCount()));
    this.startedAt = cluster.clock.now();
    this.leaseFrom = startedAt;
    watchLease();
    heartbeat();
  }

  /** The name of its machine. */
  public MachineId id() {
    return id;
  }

  /** The zone that its machine stands in. */
  public String zone() {
    return zone;
  }

  String endpoint() {
    return MachineEndpoints.of(id);
  }

  // ---- faults ---------------------------------------------------------------------------------

  boolean cut() {
    return lasts(cutUntil);
  }

  boolean deaf() {
    return lasts(deafUntil);
  }

  boolean mute() {
    return lasts(muteUntil);
  }

  boolean hung() {
    return hang.lasts();
  }

  private boolean lasts(SteadyTime until) {
    return until != null && cluster.clock.now().isBefore(until);
  }

  /** Stops executing; a hang that is under way may become longer. */
  void hang(double seconds) {
    hang.begin(seconds);
    cluster.clock.after(seconds, this::resume);
  }

  private void resume() {
    if (dead || !hang.isOver()) {
      return;
    }
    hang.end();
    checkLease();
    hang.runDeferred();
    heartbeat();
  }

  /** The machine is gone for good. */
  void die() {
    dead = true;
    tasks.values().forEach(this::kill);
    tasks.clear();
  }

  /** Its tasks are gone and its next epoch begins. */
  void restart() {
    beginEpoch();
    changed();
  }

  // ---- lease ----------------------------------------------------------------------------------

  private void watchLease() {
    cluster.clock.after(
        LEASE_CHECK_S,
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
    return cluster.clock.now().secondsSince(leaseFrom) > ClusterSettings.LEASE_S;
  }

  private void checkLease() {
    if (leaseOver()) {
      beginEpoch();
    }
  }

  private void beginEpoch() {
    tasks.values().forEach(this::kill);
    tasks.clear();
    epoch++;
    leaseFrom = cluster.clock.now();
  }

  private void kill(SimTask task) {
    leave(task);
    task.kill();
  }

  // ---- reports --------------------------------------------------------------------------------

  private void changed() {
    int before = heartbeats;
    cluster.clock.after(
        REPORT_GAP_S,
        () -> {
          if (!dead && !hung() && heartbeats == before) {
            heartbeat();
          }
        });
  }

  private Heartbeat heartbeatNow() {
    List<TaskStatus> shown = tasks.values().stream().map(SimTask::heartbeat).toList();
    return new Heartbeat(
        id,
        endpoint(),
        machineType.name(),
        zone,
        spot,
        new AgentEpoch(epoch),
        ++sequence,
        fencingToken,
        OptionalDouble.empty(),
        shown);
  }

  private void heartbeat() {
    if (dead || hung()) {
      return;
    }
    int number = ++heartbeats;
    int inEpoch = epoch;
    SteadyTime sent = cluster.clock.now();
    byte[] body = Json.bytes(heartbeatNow().write());
    cluster.heartbeatHistory.sent(id, body);
    AsyncCalls.whenAnswered(send(body), outcome -> answered(outcome, inEpoch, sent, number));
  }

  private CompletableFuture<Outcome<Response>> send(byte[] body) {
    int controller = target.controller();
    boolean answerIsLost = deaf();
    if (cluster.machineFaults.rateLimited(id, body)) {
      return cluster.network.fail(false, REPORT_TIMEOUT_S);
    }
    if (mute()) {
      return cluster.networkFaults.lostCall(REPORT_TIMEOUT_S);
    }
    return cluster.networkFaults.call(
        zone,
        NetworkFaults.zoneOf(controller),
        () -> cut() || cluster.networkFaults.cutFromWorkers(controller),
        REPORT_TIMEOUT_S,
        to ->
            cluster.deliver(
                controller,
                HeartbeatHistory.request(body),
                response -> {
                  answerLeaves(response, answerIsLost);
                  if (!answerIsLost) {
                    to.accept(Outcome.applied(response));
                  }
                }));
  }

  /** A controller has answered a heartbeat; a lost answer's commands were sent all the same. */
  private void answerLeaves(Response response, boolean lost) {
    if (response.status() != 200) {
      return;
    }
    List<Command> commands = HeartbeatResponses.commands(response.body());
    cluster.events.commandsLeave(id, commands);
    if (lost) {
      cluster.tasks.sent(id, commands);
    }
  }

  private void answered(Outcome<Response> outcome, int inEpoch, SteadyTime sent, int number) {
    if (dead) {
      return;
    }
    if (hung()) {
      hang.defer(() -> answered(outcome, inEpoch, sent, number));
      return;
    }
    boolean late = cluster.clock.now().secondsSince(sent) > REPORT_TIMEOUT_S;
    double next = ClusterSettings.REPORT_S * (0.75 + cluster.random.nextDouble() / 2);
    Response response =
        !late && outcome instanceof Outcome.Applied<Response> applied ? applied.value() : null;
    if (response != null && response.status() == 200) {
      if (inEpoch == epoch) {
        obey(response.body(), sent);
      }
    } else if (response != null && response.status() == 421) {
      next = target.watch(response.body());
    } else {
      next = target.next();
    }
    cluster.clock.after(
        next,
        () -> {
          if (heartbeats == number) {
            heartbeat();
          }
        });
  }

  // ---- commands -------------------------------------------------------------------------------

  /** Takes in an answer to a heartbeat: its token, its renewal of the lease and its commands. */
  private void obey(byte[] body, SteadyTime sent) {
    Term answered = HeartbeatResponses.fencingToken(body);
    if (answered.compareTo(fencingToken) < 0) {
      return;
    }
    if (answered.compareTo(fencingToken) > 0) {
      fencingToken = answered;
      changed();
    }
    leaseFrom = sent;
    HeartbeatResponses.commands(body).forEach(this::run);
  }

  /** A direct command arrives, perhaps long after it was sent. */
  void command(
      Term term, AgentEpoch to, List<Command> commands, Consumer<Outcome<Workers.Answer>> answer) {
    if (dead) {
      return;
    }
    if (hung()) {
      hang.defer(() -> command(term, to, commands, answer));
      return;
    }
    if (term.compareTo(fencingToken) < 0 || to.value() != epoch) {
      answer.accept(Outcome.applied(new Workers.Answer.Refused(heartbeatNow())));
      return;
    }
    fencingToken = term;
    commands.forEach(this::run);
    answer.accept(Outcome.applied(new Workers.Answer.Executed(heartbeatNow())));
  }

  private void run(Command command) {
    String key = command.task() + "#" + command.attempt();
    SimTask task = tasks.get(key);
    switch (command.op()) {
      case START -> {
        if (task == null) {
          start(key, command);
        }
      }
      case STOP -> {
        if (task != null && !task.hasEnded()) {
          end(task, EndReason.STOPPED);
          changed();
        }
      }
      default -> {
        if (task != null && task.hasEnded()) {
          tasks.remove(key);
        }
      }
    }
  }

  // ---- tasks ----------------------------------------------------------------------------------

  private void start(String key, Command command) {
    SimTask task = new SimTask(command);
    boolean busy = tasks.values().stream().anyMatch(t -> t.id().equals(task.id()) && !t.hasEnded());
    tasks.put(key, task);
    if (busy) {
      end(task, EndReason.BUSY);
      changed();
      return;
    }
    changed();
    JobSpec spec = cluster.jobs.spec(task.id().job());
    hang.afterWork(FETCH_S, () -> fetched(key, task, spec));
  }

  /** Whether an attempt is still the one that the machine holds under its key. */
  private boolean holds(String key, SimTask task) {
    return !dead && tasks.get(key) == task;
  }

  private void fetched(String key, SimTask task, JobSpec spec) {
    if (!holds(key, task) || !task.isFetching()) {
      return;
    }
    task.run();
    cluster.events.started(this, task.id(), spec);
    changed();
    if (sick || cluster.jobs.isFaulty(task.id().job())) {
      hang.afterWork(FAILS_AFTER_S, () -> fail(key, task));
    } else if (!spec.isService()) {
      hang.afterWork(spec.estimateS(), () -> complete(key, task));
    }
  }

  private void fail(String key, SimTask task) {
    if (holds(key, task) && task.isRunning()) {
      end(task, EndReason.ERROR);
      changed();
    }
  }

  private void complete(String key, SimTask task) {
    if (holds(key, task) && task.isRunning()) {
      cluster.events.completed(task.id());
      end(task, EndReason.DONE);
      changed();
    }
  }

  private void end(SimTask task, EndReason reason) {
    leave(task);
    task.end(reason);
  }

  private void leave(SimTask task) {
    if (task.isRunning()) {
      cluster.events.left(this, task.id());
    }
  }
}
