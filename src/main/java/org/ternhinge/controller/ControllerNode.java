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
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.request.AnswerDeadline;
import org.ternhinge.request.BootstrapMachineTypes;
import org.ternhinge.request.DependencyCheck;
import org.ternhinge.request.HeartbeatHandler;
import org.ternhinge.request.JobCancellations;
import org.ternhinge.request.JobLookup;
import org.ternhinge.request.JobQueries;
import org.ternhinge.request.LeaderSearch;
import org.ternhinge.request.NodeConnectivity;
import org.ternhinge.request.PeerClient;
import org.ternhinge.request.PeerTransport;
import org.ternhinge.request.Responses;
import org.ternhinge.request.SubmissionHandler;
import org.ternhinge.request.SubmissionRelay;
import org.ternhinge.request.SubmissionWriter;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.term.ControllerServices;

/**
 * One controller: takes users' requests and workers' heartbeats, and leads while it holds the
 * lease. Any node accepts jobs by itself, straight into the key-value store; cancellations and
 * progress are the leader's, and what the leader can't be asked is read from the key-value store.
 *
 * <p>This class starts the parts and hands each request to the one whose job it is. All parts run
 * under one lock, which is taken here for each request.
 */
public final class ControllerNode {
  /** Where workers report. */
  public static final String WORKERS_PATH = "/agent/beat";

  private static final String SUBMISSIONS_PATH = "/submissions";
  private static final String JOB_PREFIX = SUBMISSIONS_PATH + "/";
  private static final String CANCEL_SUFFIX = "/cancel";
  private static final String HEALTH_PATH = "/healthz";
  private static final double METRICS_INTERVAL_S = 60;

  /** Hears when this node's share of the key-value store's limits changes. */
  public interface Share {
    /** This node leads, or does so no longer. */
    void leads(boolean leading);
  }

  private final ControllerServices services;
  private final LockedExecutor locked;
  private final Election election;
  private final Share share;
  private final LeadershipRole role;
  private final NodeConnectivity connectivity;
  private final BootstrapMachineTypes machineTypes;
  private final SubmissionHandler submissions;
  private final JobQueries queries;
  private final JobCancellations cancellations;
  private final HeartbeatHandler heartbeats;

  /**
   * Puts the parts of a controller together.
   *
   * @param peers the way to the other nodes
   * @param share hears when this node begins or ceases to lead
   */
  public ControllerNode(
      ControllerServices services, Election election, PeerTransport peers, Share share) {
    this.services = services;
    Lock lock = services.lock();
    this.locked = new LockedExecutor(lock);
    this.election = election;
    this.share = share;
    Settings settings = services.settings();
    KeyValueStore store = services.store();
    Clock clock = services.clock();
    List<String> others = List.copyOf(settings.peers().keySet());
    this.role = new LeadershipRole(settings.node(), election);
    this.connectivity = new NodeConnectivity(store, peers, others, clock, lock);
    this.machineTypes =
        new BootstrapMachineTypes(
            store,
            services.cloud(),
            clock,
            lock,
            types -> role.held().ifPresent(leadership -> leadership.learn(types)));
    PeerClient peerClient = new PeerClient(peers, lock, connectivity);
    JobLookup lookup = new JobLookup(store);
    SubmissionWriter writer =
        new SubmissionWriter(
            store,
            lookup,
            new DependencyCheck(role, lookup, lock),
            role,
            clock,
            lock,
            settings.storeLimits().valueBytes());
    SubmissionRelay relay = new SubmissionRelay(peerClient, others, clock);
    this.submissions =
        new SubmissionHandler(settings, role, machineTypes, writer, relay, connectivity);
    LeaderSearch search = new LeaderSearch(role, peerClient, connectivity, others, clock, lock);
    this.queries = new JobQueries(role, peerClient, search, lookup);
    this.cancellations = new JobCancellations(role, peerClient, search, lookup, clock);
    this.heartbeats = new HeartbeatHandler(role, peerClient, clock);
  }

  /** Begins to load what is needed and to stand for election. */
  public void start() {
    machineTypes.load();
    connectivity.start();
    election.start(new ElectionOutcome());
    scheduleMetricsLog();
  }

  private final class ElectionOutcome implements Election.Listener {
    @Override
    public void elected(Authority authority) {
      share.leads(true);
      Leadership leadership = new Leadership(services, authority, machineTypes.all());
      role.begin(leadership);
      leadership.start();
    }

    @Override
    public void deposed(String why) {
      share.leads(false);
      role.end().stop();
    }
  }

  private void scheduleMetricsLog() {
    services.clock().after(METRICS_INTERVAL_S, this::logMetrics);
  }

  private void logMetrics() {
    services.metrics().log();
    scheduleMetricsLog();
  }

  /** Answers users, workers and health checks. */
  public void handle(Request request, Consumer<Response> answer) {
    locked.execute(() -> route(request, false, answer));
  }

  /** Answers another node; what it asks is not passed on again. */
  public void handlePeer(Request request, Consumer<Response> answer) {
    locked.execute(() -> route(request, true, answer));
  }

  private void route(Request request, boolean fromPeer, Consumer<Response> answer) {
    String path = request.path();
    if (path.equals(WORKERS_PATH)) {
      only("POST", request, answer, () -> heartbeats.take(request, fromPeer, answer));
    } else if (path.equals(SUBMISSIONS_PATH)) {
      only(
          "POST",
          request,
          answer,
          () -> submit(request, fromPeer, within(AnswerDeadline.WRITE_S, answer)));
    } else if (SubmissionRelay.isDependentPath(path) && fromPeer) {
      only("POST", request, answer, () -> submissions.takeFromPeer(request, answer));
    } else if (path.startsWith(JOB_PREFIX)) {
      routeJob(path.substring(JOB_PREFIX.length()), request, fromPeer, answer);
    } else if (path.equals(HEALTH_PATH)) {
      only("GET", request, answer, () -> answer.accept(health()));
    } else {
      answer.accept(Response.of(Responses.NOT_FOUND));
    }
  }

  private Consumer<Response> within(double seconds, Consumer<Response> answer) {
    return AnswerDeadline.within(seconds, services.clock(), answer);
  }

  private void submit(Request request, boolean fromPeer, Consumer<Response> answer) {
    if (fromPeer) {
      submissions.takeFromPeer(request, answer);
    } else {
      submissions.takeFromUser(request, answer);
    }
  }

  private void routeJob(String rest, Request request, boolean fromPeer, Consumer<Response> answer) {
    boolean cancels = rest.endsWith(CANCEL_SUFFIX);
    String name = cancels ? rest.substring(0, rest.length() - CANCEL_SUFFIX.length()) : rest;
    if (!JobId.isValid(name)) {
      answer.accept(Response.of(Responses.NOT_FOUND));
      return;
    }
    JobId id = new JobId(name);
    if (cancels) {
      only(
          "POST",
          request,
          answer,
          () -> cancel(id, request, fromPeer, within(AnswerDeadline.WRITE_S, answer)));
    } else {
      only(
          "GET",
          request,
          answer,
          () -> query(id, request, fromPeer, within(AnswerDeadline.POLL_S, answer)));
    }
  }

  private void cancel(JobId id, Request request, boolean fromPeer, Consumer<Response> answer) {
    if (fromPeer) {
      cancellations.cancelForPeer(id, answer);
    } else {
      cancellations.cancelForUser(id, request, answer);
    }
  }

  private void query(JobId id, Request request, boolean fromPeer, Consumer<Response> answer) {
    if (fromPeer) {
      queries.answerPeer(id, answer);
    } else {
      queries.answerUser(id, request, answer);
    }
  }

  private static void only(
      String method, Request request, Consumer<Response> answer, Runnable then) {
    if (request.method().equals(method)) {
      then.run();
    } else {
      answer.accept(Response.of(Responses.METHOD_NOT_ALLOWED));
    }
  }

  /** A node without machine types can't judge submissions, and a cut off one can't answer users. */
  private Response health() {
    return machineTypes.isEmpty() || connectivity.alone()
        ? Responses.busy()
        : Response.of(Responses.OK);
  }
}
