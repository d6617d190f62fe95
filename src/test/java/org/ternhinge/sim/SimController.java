package org.ternhinge.sim;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.ternhinge.config.Settings;
import org.ternhinge.controller.ControllerNode;
import org.ternhinge.election.Election;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.request.PeerTransport;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.term.ControllerServices;

/**
 * A controller process in a fully simulated environment. Once killed, it receives and sends
 * nothing; a restart creates another process.
 */
final class SimController implements Clock, SimCloud.Guard {
  /** Delay of work handed over to another thread, in seconds. */
  private static final double HANDOVER_DELAY_S = 0.001;

  private static final String PEER_PATHS = "/peer/";

  private final SimCluster cluster;
  private final int index;
  private final boolean oldVersion;
  private final ControllerNode node;
  private boolean alive = true;

  /** End of the current pause of the process; its clocks keep running meanwhile. */
  private MonotonicTime pausedUntil = new MonotonicTime(0);

  SimController(SimCluster cluster, int index) {
    this.cluster = cluster;
    this.index = index;
    this.oldVersion = cluster.controllers.runsOldVersion(index);
    ReentrantLock lock = new ReentrantLock();
    String name = "node-" + index;
    // The version before dependent jobs does not read announced limits either.
    Settings settings =
        oldVersion ? cluster.settings.withInitialLimits(name) : cluster.settings.forNode(name);
    SimStoreClient client = new SimStoreClient(cluster, this);
    KeyValueStore state = oldVersion ? new OldVersion.Store(client) : client;
    ControllerServices services =
        new ControllerServices(
            settings,
            cluster.settings.tuning(),
            state,
            new SimCloud(cluster, index, this),
            new SimCommandClient(cluster, this),
            this,
            lock,
            action -> schedule(HANDOVER_DELAY_S, action),
            cluster.metrics);
    Election election =
        new Election(
            settings.node(),
            state,
            this,
            cluster.settings.tuning(),
            Election.gracePeriodS(cluster.settings.tuning(), settings.workers()),
            lock,
            cluster.random.split());
    node =
        new ControllerNode(
            services,
            election,
            new PeerLinks(),
            leading -> {
              if (leading) {
                cluster.counts.countLeadership();
              }
              client.setLeading(leading);
            });
  }

  /** The transport to the other controllers. */
  private final class PeerLinks implements PeerTransport {
    @Override
    public void send(
        String to, Request request, double timeoutS, Consumer<Optional<Response>> answer) {
      cluster.controllers.askPeer(SimController.this, to, request, timeoutS, answer);
    }

    @Override
    public void closeConnection(String to) {}
  }

  void start() {
    node.start();
  }

  void kill() {
    alive = false;
  }

  /** Pauses for a while; timers and messages due meanwhile are processed afterwards. */
  void pause(double seconds) {
    pausedUntil = now().plusSeconds(seconds).max(pausedUntil);
  }

  /** Runs an action at once, or when the process resumes; never after it is killed. */
  private void whenRunning(Runnable action) {
    if (!alive) {
      return;
    }
    double remainingS = pausedUntil.secondsSince(now());
    if (remainingS > 0) {
      cluster.clock.schedule(remainingS, () -> whenRunning(action));
    } else {
      action.run();
    }
  }

  int index() {
    return index;
  }

  String zone() {
    return NetworkFaults.zoneOf(index);
  }

  /** Handles a request of a user or a worker. */
  void handle(Request request, Consumer<Response> answer) {
    whenRunning(
        () ->
            node.handle(
                translate(request),
                response -> {
                  if (alive) {
                    answer.accept(response);
                  }
                }));
  }

  /** Handles a request of another controller; the old version has no peer paths. */
  void handlePeer(Request request, Consumer<Response> answer) {
    if (oldVersion && request.path().startsWith(PEER_PATHS)) {
      answer.accept(Response.of(404));
      return;
    }
    whenRunning(() -> node.handlePeer(translate(request), answer));
  }

  private Request translate(Request request) {
    return oldVersion ? OldVersion.request(request) : request;
  }

  @Override
  public <T> CompletableFuture<T> guard(CompletableFuture<T> from) {
    CompletableFuture<T> guarded = new CompletableFuture<>();
    var unused = from.whenComplete((value, error) -> whenRunning(() -> guarded.complete(value)));
    return guarded;
  }

  @Override
  public MonotonicTime now() {
    return cluster.clock.now();
  }

  @Override
  public long wallClockMillis() {
    return cluster.clock.wallClockMillis();
  }

  @Override
  public void schedule(double seconds, Runnable action) {
    cluster.clock.schedule(seconds, () -> whenRunning(action));
  }
}
