package org.ternhinge.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.cloud.HttpCloud;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.controller.ControllerNode;
import org.ternhinge.election.Election;
import org.ternhinge.http.EventLoopClock;
import org.ternhinge.http.HttpServer;
import org.ternhinge.http.PooledHttpClient;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.http.SocketBudget;
import org.ternhinge.http.SocketUsage;
import org.ternhinge.limit.KeyValueStoreBudget;
import org.ternhinge.limit.TokenBucket;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Endpoint;
import org.ternhinge.peer.PeerLink;
import org.ternhinge.request.PeerTransport;
import org.ternhinge.store.HttpKeyValueStore;
import org.ternhinge.store.ResponseTimeouts;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.worker.HttpWorkerClient;

/** Wires up a controller and runs it until the process ends. */
final class Service {
  private static final Logger LOG = LoggerFactory.getLogger(Service.class);

  /**
   * Fraction of the cloud's request limit that is used, since the cloud's clock may differ
   * slightly.
   */
  private static final double CLOUD_SHARE = 0.8;

  /** Seconds between two log lines with the number of open sockets. */
  private static final double SOCKETS_LOG_INTERVAL_S = 60;

  private final Settings settings;
  private final Tuning tuning;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Clock clock = new EventLoopClock(loop);
  private final Lock lock = new ReentrantLock();
  private final SocketBudget sockets;
  private final PooledHttpClient http;
  private final KeyValueStoreBudget budget;
  private final ControllerServices services;

  private Service(Settings settings, Tuning tuning) {
    this.settings = settings;
    this.tuning = tuning;
    this.sockets = SocketBudget.of(settings.maxSockets());
    this.http = new PooledHttpClient(loop, sockets, this::ownerOf);
    this.budget =
        new KeyValueStoreBudget(
            clock,
            settings.storeLimits().rps(),
            settings.storeLimits().writeRps(),
            settings.peers().size());
    this.services = services();
  }

  /** Serves until the process ends. */
  static void run(Settings settings, Tuning tuning) throws InterruptedException {
    configureNetty();
    new Service(settings, tuning).serve();
    Thread.currentThread().join();
  }

  /**
   * Configures Netty for a small heap and few sockets; must be called before the first use of
   * Netty.
   */
  private static void configureNetty() {
    System.setProperty("io.netty.allocator.type", "unpooled");
    System.setProperty("io.netty.noPreferDirect", "true");
    System.setProperty("io.netty.leakDetection.level", "disabled");
    // Otherwise Netty scans the network interfaces to derive a machine ID.
    System.setProperty("io.netty.machineId", "02:00:00:00:00:01");
  }

  private ControllerServices services() {
    TokenBucket cloudTokens = new TokenBucket(clock, settings.cloudLimits().rps() * CLOUD_SHARE);
    return new ControllerServices(
        settings,
        tuning,
        new HttpKeyValueStore(
            http,
            settings.state(),
            budget.requests(),
            budget.changes(),
            ResponseTimeouts.of(clock, tuning)),
        new HttpCloud(http, settings.cloud(), cloudTokens),
        new HttpWorkerClient(http),
        clock,
        lock,
        Executors.newSingleThreadExecutor(action -> new Thread(action, "scheduler")),
        new Metrics());
  }

  /** What the connections to an endpoint are used for. */
  private SocketUsage.Owner ownerOf(Endpoint endpoint) {
    if (endpoint.equals(settings.state())) {
      return SocketUsage.Owner.TO_STORE;
    }
    return endpoint.equals(settings.cloud())
        ? SocketUsage.Owner.TO_CLOUD
        : SocketUsage.Owner.TO_WORKERS;
  }

  private void logSocketUsage() {
    LOG.info("{}", http.usage().summary());
    clock.schedule(SOCKETS_LOG_INTERVAL_S, this::logSocketUsage);
  }

  private void serve() throws InterruptedException {
    PeerLink link = new PeerLink(loop, settings.peers(), http.usage());
    ControllerNode node =
        new ControllerNode(services, election(), new LinkTransport(link), budget::setLeading);
    new HttpServer(group, node::handle, sockets, ControllerNode.HEARTBEAT_PATH, http)
        .listen(settings.clientListen());
    link.listen(settings.peerListen(), node::handlePeer);
    node.start();
    clock.schedule(SOCKETS_LOG_INTERVAL_S, this::logSocketUsage);
    LOG.info("{} serves users and workers on {}", settings.node(), settings.clientListen());
  }

  private Election election() {
    return new Election(
        settings.node(),
        services.store(),
        clock,
        tuning,
        Election.gracePeriodS(tuning, settings.workers()),
        lock,
        new SplittableRandom(seed()));
  }

  /**
   * Returns a seed that differs between nodes that start simultaneously and between restarts of a
   * node.
   */
  private long seed() {
    long time = System.nanoTime() ^ (System.currentTimeMillis() << 20);
    return time * 31 + settings.node().hashCode();
  }

  private record LinkTransport(PeerLink link) implements PeerTransport {
    @Override
    public void send(
        String node, Request request, double timeoutS, Consumer<Optional<Response>> answer) {
      link.send(node, request, timeoutS, answer);
    }

    @Override
    public void closeConnection(String node) {
      link.closeConnection(node);
    }
  }
}
