package org.ternhinge.sim;

import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.MachineType;
import org.ternhinge.worker.WorkerClient;

/**
 * A simulated machine with a worker that follows the protocol: agent epochs, fencing tokens, the
 * worker lease and heartbeats. Its tasks run in a {@link SimTaskRunner}.
 */
public final class SimWorker {
  /**
   * Delay of a heartbeat after a change, in seconds; changes during the delay share one heartbeat.
   */
  private static final double HEARTBEAT_DELAY_S = 0.5;

  private static final double LEASE_CHECK_S = 0.5;

  private final SimCluster cluster;
  private final MachineId id;
  final MachineType machineType;
  final String zone;
  final boolean spot;
  final MonotonicTime startedAt;
  private final MachineHang hang;
  private final MachineLinks links;
  private final SimTaskRunner tasks;
  private final HeartbeatTransport transport;
  private final HeartbeatTarget target;
  private int epoch = 1;
  private long sequence;
  private Term fencingToken = Term.NONE;
  private MonotonicTime leaseStart;

  /** When a heartbeat was last sent early because of a higher token; null if never. */
  private MonotonicTime tokenReportedAt;

  /** Number of heartbeats sent. */
  private int heartbeats;

  private boolean terminated;

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
    this.leaseStart = startedAt;
    scheduleLeaseCheck();
    heartbeat();
  }

  /** The identifier of its machine. */
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

  boolean isHung() {
    return hang.isActive();
  }

  /** Makes every task that starts from now on fail. */
  void failEveryTask() {
    tasks.failEveryTask();
  }

  /** Makes the running tasks fail. */
  void failRunningTasks() {
    tasks.failRunning();
  }

  /** Hangs for a while, or extends a hang in progress. */
  void hang(double seconds) {
    hang.begin(seconds);
    cluster.clock.schedule(seconds, this::resume);
  }

  private void resume() {
    if (terminated || !hang.hasElapsed()) {
      return;
    }
    hang.end();
    checkLease();
    hang.runDeferred();
    heartbeat();
  }

  /** Terminates the machine permanently. */
  void terminate() {
    terminated = true;
    tasks.killAndClearAll();
  }

  /** Restarts the machine: its tasks are lost and the next epoch begins. */
  void restart() {
    beginEpoch();
    heartbeatSoon();
  }

  // ---- lease ----------------------------------------------------------------------------------

  private void scheduleLeaseCheck() {
    cluster.clock.schedule(
        LEASE_CHECK_S,
        () -> {
          if (terminated) {
            return;
          }
          if (!isHung()) {
            checkLease();
          } else if (leaseExpired()) {
            // The tasks can't continue: the worker kills them as soon as it resumes.
            tasks.killAll();
          }
          scheduleLeaseCheck();
        });
  }

  private boolean leaseExpired() {
    return cluster.clock.now().secondsSince(leaseStart) > ClusterSettings.LEASE_S;
  }

  private void checkLease() {
    if (leaseExpired()) {
      beginEpoch();
    }
  }

  private void beginEpoch() {
    tasks.killAndClearAll();
    epoch++;
    leaseStart = cluster.clock.now();
  }

  // ---- heartbeats -----------------------------------------------------------------------------

  /** Sends a heartbeat after a short delay, unless another one is sent meanwhile. */
  private void heartbeatSoon() {
    int before = heartbeats;
    cluster.clock.schedule(
        HEARTBEAT_DELAY_S,
        () -> {
          if (!terminated && !isHung() && heartbeats == before) {
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
    if (terminated || isHung()) {
      return;
    }
    int number = ++heartbeats;
    int sentInEpoch = epoch;
    MonotonicTime sent = cluster.clock.now();
    byte[] body = Json.bytes(nextHeartbeat().write());
    cluster.machines.heartbeatHistory().recordSent(id, body);
    AsyncCalls.whenComplete(
        transport.send(body, target.controller()),
        outcome -> answered(outcome, sentInEpoch, sent, number));
  }

  private void answered(
      Outcome<Response> outcome, int sentInEpoch, MonotonicTime sent, int number) {
    if (terminated) {
      return;
    }
    if (isHung()) {
      hang.defer(() -> answered(outcome, sentInEpoch, sent, number));
      return;
    }
    boolean late = cluster.clock.now().secondsSince(sent) > HeartbeatTransport.TIMEOUT_S;
    double nextS = ClusterSettings.HEARTBEAT_S * (0.75 + cluster.random.nextDouble() / 2);
    Response response =
        !late && outcome instanceof Outcome.Applied<Response> applied ? applied.value() : null;
    if (response != null && response.status() == 200) {
      if (sentInEpoch == epoch) {
        accept(response.body(), sent);
      }
    } else if (response != null && response.status() == 421) {
      nextS = target.followRedirect(response.body());
    } else {
      nextS = target.switchToNext();
    }
    cluster.clock.schedule(
        nextS,
        () -> {
          if (heartbeats == number) {
            heartbeat();
          }
        });
  }

  /** Applies a response to a heartbeat: fencing token, lease renewal and commands. */
  private void accept(byte[] body, MonotonicTime sent) {
    Term answered = HeartbeatResponses.fencingToken(body);
    if (answered.compareTo(fencingToken) < 0) {
      return;
    }
    if (answered.compareTo(fencingToken) > 0) {
      fencingToken = answered;
      reportHigherToken();
    }
    leaseStart = sent;
    HeartbeatResponses.commands(body).forEach(tasks::execute);
  }

  /** A higher token is reported at once, but at most once per half of the lease. */
  private void reportHigherToken() {
    MonotonicTime now = cluster.clock.now();
    boolean isRecent =
        tokenReportedAt != null && now.secondsSince(tokenReportedAt) < ClusterSettings.LEASE_S / 2;
    if (!isRecent) {
      tokenReportedAt = now;
      heartbeatSoon();
    }
  }

  // ---- direct commands ------------------------------------------------------------------------

  /** Executes a direct command, which may arrive long after it was sent. */
  void command(
      Term term,
      AgentEpoch to,
      List<Command> commands,
      Consumer<Outcome<WorkerClient.Answer>> answer) {
    if (terminated) {
      return;
    }
    if (isHung()) {
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
