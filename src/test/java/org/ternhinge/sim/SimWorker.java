package org.ternhinge.sim;

import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.MachineType;
import org.ternhinge.worker.WorkerClient;

/**
 * A machine with its worker as the protocol describes it: agent epochs, fencing tokens, the worker
 * lease and heartbeats. Its tasks run in a {@link SimTaskRunner}.
 */
public final class SimWorker {
  /** Delay of a heartbeat upon a change, in seconds; changes of that time go out together. */
  private static final double HEARTBEAT_GAP_S = 0.5;

  private static final double LEASE_CHECK_S = 0.5;

  private final SimCluster cluster;
  private final MachineId id;
  final MachineType machineType;
  final String zone;
  final boolean spot;
  final SteadyTime startedAt;
  private final MachineHang hang;
  private final MachineLinks links;
  private final SimTaskRunner tasks;
  private final HeartbeatTransport transport;
  private final HeartbeatTarget target;
  private int epoch = 1;
  private long sequence;
  private Term fencingToken = Term.NONE;
  private SteadyTime leaseFrom;

  /** Heartbeats that were sent. */
  private int heartbeats;

  private boolean dead;

  SimWorker(SimCluster cluster, MachineId id, MachineType machineType, String zone, boolean spot) {
    this.cluster = cluster;
    this.id = id;
    this.machineType = machineType;
    this.zone = zone;
    this.spot = spot;
    this.hang = new MachineHang(cluster.clock);
    this.links = new MachineLinks(cluster.clock);
    this.tasks = new SimTaskRunner(cluster, this, hang, this::heartbeatSoon);
    this.transport = new HeartbeatTransport(cluster, this);
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

  /** The zone of its machine. */
  public String zone() {
    return zone;
  }

  String endpoint() {
    return MachineEndpoints.of(id);
  }

  // ---- faults ---------------------------------------------------------------------------------

  MachineLinks links() {
    return links;
  }

  boolean hung() {
    return hang.lasts();
  }

  /** Every task that starts from now on fails. */
  void failEveryTask() {
    tasks.failEveryTask();
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

  /** Ends the machine for ever. */
  void die() {
    dead = true;
    tasks.killAndClearAll();
  }

  /** Restarts the machine: its tasks are lost and its next epoch begins. */
  void restart() {
    beginEpoch();
    heartbeatSoon();
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
          } else if (leaseExpired()) {
            // They can't go on; the worker certainly kills them when it resumes.
            tasks.killAll();
          }
          watchLease();
        });
  }

  private boolean leaseExpired() {
    return cluster.clock.now().secondsSince(leaseFrom) > ClusterSettings.LEASE_S;
  }

  private void checkLease() {
    if (leaseExpired()) {
      beginEpoch();
    }
  }

  private void beginEpoch() {
    tasks.killAndClearAll();
    epoch++;
    leaseFrom = cluster.clock.now();
  }

  // ---- heartbeats -----------------------------------------------------------------------------

  /** Sends a heartbeat after a short delay, unless another one is sent meanwhile. */
  private void heartbeatSoon() {
    int before = heartbeats;
    cluster.clock.after(
        HEARTBEAT_GAP_S,
        () -> {
          if (!dead && !hung() && heartbeats == before) {
            heartbeat();
          }
        });
  }

  private Heartbeat nextHeartbeat() {
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
        tasks.statuses());
  }

  private void heartbeat() {
    if (dead || hung()) {
      return;
    }
    int number = ++heartbeats;
    int inEpoch = epoch;
    SteadyTime sent = cluster.clock.now();
    byte[] body = Json.bytes(nextHeartbeat().write());
    cluster.machines.heartbeatHistory().sent(id, body);
    AsyncCalls.whenAnswered(
        transport.send(body, target.controller()),
        outcome -> answered(outcome, inEpoch, sent, number));
  }

  private void answered(Outcome<Response> outcome, int inEpoch, SteadyTime sent, int number) {
    if (dead) {
      return;
    }
    if (hung()) {
      hang.defer(() -> answered(outcome, inEpoch, sent, number));
      return;
    }
    boolean late = cluster.clock.now().secondsSince(sent) > HeartbeatTransport.TIMEOUT_S;
    double nextS = ClusterSettings.HEARTBEAT_S * (0.75 + cluster.random.nextDouble() / 2);
    Response response =
        !late && outcome instanceof Outcome.Applied<Response> applied ? applied.value() : null;
    if (response != null && response.status() == 200) {
      if (inEpoch == epoch) {
        accept(response.body(), sent);
      }
    } else if (response != null && response.status() == 421) {
      nextS = target.followRedirect(response.body());
    } else {
      nextS = target.next();
    }
    cluster.clock.after(
        nextS,
        () -> {
          if (heartbeats == number) {
            heartbeat();
          }
        });
  }

  /** Applies an answer to a heartbeat: its fencing token, its lease renewal and its commands. */
  private void accept(byte[] body, SteadyTime sent) {
    Term answered = HeartbeatResponses.fencingToken(body);
    if (answered.compareTo(fencingToken) < 0) {
      return;
    }
    if (answered.compareTo(fencingToken) > 0) {
      fencingToken = answered;
      heartbeatSoon();
    }
    leaseFrom = sent;
    HeartbeatResponses.commands(body).forEach(tasks::execute);
  }

  // ---- direct commands ------------------------------------------------------------------------

  /** A direct command arrives, perhaps long after it was sent. */
  void command(
      Term term,
      AgentEpoch to,
      List<Command> commands,
      Consumer<Outcome<WorkerClient.Answer>> answer) {
    if (dead) {
      return;
    }
    if (hung()) {
      hang.defer(() -> command(term, to, commands, answer));
      return;
    }
    if (term.compareTo(fencingToken) < 0 || to.value() != epoch) {
      answer.accept(Outcome.applied(new WorkerClient.Answer.Refused(nextHeartbeat())));
      return;
    }
    fencingToken = term;
    commands.forEach(tasks::execute);
    answer.accept(Outcome.applied(new WorkerClient.Answer.Executed(nextHeartbeat())));
  }
}
