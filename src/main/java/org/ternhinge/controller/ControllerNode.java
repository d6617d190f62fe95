package org.ternhinge.controller;

import java.util.List;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.config.Settings;
import org.ternhinge.election.Election;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.LeadershipLoss;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.request.BootstrapMachineTypes;
import org.ternhinge.request.ConnectivityProbe;
import org.ternhinge.request.NodeConnectivity;
import org.ternhinge.request.PeerClient;
import org.ternhinge.request.PeerTransport;
import org.ternhinge.request.RequestOrigin;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.term.ControllerServices;

/**
 * One controller: answers users' requests and workers' heartbeats, and leads while it holds the
 * lease. Any node accepts jobs by writing them directly to the key-value store. Cancellations and
 * queries go to the leader; where it can't be reached, they are answered from the key-value store
 * as far as possible.
 *
 * <p>This class creates and starts the components of the node and routes each request to its
 * handler. All components run under one lock, which is acquired here for each request.
 */
public final class ControllerNode {
  /** The path to which workers post their heartbeats. */
  public static final String HEARTBEAT_PATH = "/agent/beat";

  private static final double METRICS_INTERVAL_S = 60;

  /** Interval at which the delay of the event loop's timers is measured. */
  private static final double TIMER_CHECK_S = 1;

  private final ControllerServices services;
  private final LockedExecutor lockedExecutor;
  private final Election election;
  private final LeadershipListener leadershipListener;
  private final LeadershipRole role;
  private final ConnectivityProbe connectivityProbe;
  private final BootstrapMachineTypes machineTypes;
  private final RequestRouter clientRouter;
  private final RequestRouter peerRouter;

  /**
   * Creates a controller that is not started.
   *
   * @param transport carries requests to the other nodes
   * @param leadershipListener notified when this node gains or loses leadership
   */
  public ControllerNode(
      ControllerServices services,
      Election election,
      PeerTransport transport,
      LeadershipListener leadershipListener) {
    this.services = services;
    this.election = election;
    this.leadershipListener = leadershipListener;
    Settings settings = services.settings();
    KeyValueStore store = services.store();
    Clock clock = services.clock();
    Lock lock = services.lock();
    List<String> otherNodes = List.copyOf(settings.peers().keySet());
    lockedExecutor = new LockedExecutor(lock);
    role = new LeadershipRole(settings.node(), election);
    NodeConnectivity connectivity = new NodeConnectivity(clock, !otherNodes.isEmpty());
    PeerClient peers = new PeerClient(transport, lock, connectivity, clock);
    connectivityProbe = new ConnectivityProbe(store, peers, otherNodes, connectivity, clock, lock);
    machineTypes =
        new BootstrapMachineTypes(
            store,
            services.cloud(),
            clock,
            lock,
            types -> role.current().ifPresent(leadership -> leadership.addMachineTypes(types)));
    RouteTable routes =
        new RouteTable(services, role, peers, otherNodes, connectivity, machineTypes);
    clientRouter = new RequestRouter(routes.forClients());
    peerRouter = new RequestRouter(routes.forPeers());
  }

  /** Starts loading the machine types, probing connectivity and taking part in elections. */
  public void start() {
    machineTypes.load();
    connectivityProbe.start();
    election.start(new ElectionOutcome());
    scheduleMetricsLog();
    measureTimerDelay();
  }

  private final class ElectionOutcome implements Election.Listener {
    @Override
    public void elected(Authority authority) {
      leadershipListener.leadershipChanged(true);
      Leadership leadership = new Leadership(services, authority, machineTypes.all());
      role.begin(leadership);
      leadership.start();
    }

    @Override
    public void leadershipLost(LeadershipLoss loss) {
      leadershipListener.leadershipChanged(false);
      role.end();
    }
  }

  private void scheduleMetricsLog() {
    services.clock().schedule(METRICS_INTERVAL_S, this::logMetrics);
  }

  private void logMetrics() {
    services.metrics().logSummary(services.clock().now());
    scheduleMetricsLog();
  }

  private void measureTimerDelay() {
    MonotonicTime due = services.clock().now().plusSeconds(TIMER_CHECK_S);
    services
        .clock()
        .schedule(
            TIMER_CHECK_S,
            () -> {
              services.metrics().recordTimerDelay(services.clock().now().secondsSince(due));
              measureTimerDelay();
            });
  }

  /** Answers users, workers and health checks; may be called on any thread, without the lock. */
  public void handle(Request request, Consumer<Response> answer) {
    lockedExecutor.execute(() -> clientRouter.route(request, RequestOrigin.CLIENT, answer));
  }

  /**
   * Answers another node, whose request is not forwarded a second time; may be called on any
   * thread, without the lock.
   */
  public void handlePeer(Request request, Consumer<Response> answer) {
    lockedExecutor.execute(() -> peerRouter.route(request, RequestOrigin.PEER, answer));
  }
}
