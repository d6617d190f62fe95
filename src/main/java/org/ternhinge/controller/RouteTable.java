package org.ternhinge.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import java.util.function.Function;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.metrics.JobRequestMetrics;
import org.ternhinge.metrics.JobRequestMetrics.Event;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.request.BootstrapMachineTypes;
import org.ternhinge.request.DependencyCheck;
import org.ternhinge.request.DependentSubmissionPath;
import org.ternhinge.request.HeartbeatHandler;
import org.ternhinge.request.JobCancellationHandler;
import org.ternhinge.request.JobLookup;
import org.ternhinge.request.JobQueryHandler;
import org.ternhinge.request.JobRequestHandler;
import org.ternhinge.request.JobRequestRouter;
import org.ternhinge.request.LeaderSearch;
import org.ternhinge.request.NodeConnectivity;
import org.ternhinge.request.PeerClient;
import org.ternhinge.request.RequestOrigin;
import org.ternhinge.request.ResponseDeadline;
import org.ternhinge.request.Responses;
import org.ternhinge.request.SubmissionForwarder;
import org.ternhinge.request.SubmissionHandler;
import org.ternhinge.request.SubmissionWriter;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.term.ControllerServices;

/** The routes of a node with the handlers that serve them. */
final class RouteTable {
  private static final String HEALTH_PATH = "/healthz";

  private final Clock clock;
  private final NodeConnectivity connectivity;
  private final BootstrapMachineTypes machineTypes;
  private final JobRequestMetrics metrics;
  private final HeartbeatHandler heartbeats;
  private final SubmissionHandler submissions;
  private final JobRequestRouter queries;
  private final JobRequestRouter cancellations;

  /**
   * Creates the handlers.
   *
   * @param otherNodes names of all other controllers
   */
  RouteTable(
      ControllerServices services,
      LeadershipRole role,
      PeerClient peers,
      List<String> otherNodes,
      NodeConnectivity connectivity,
      BootstrapMachineTypes machineTypes) {
    this.clock = services.clock();
    this.connectivity = connectivity;
    this.machineTypes = machineTypes;
    this.metrics = services.metrics().jobRequests();
    JobLookup lookup = new JobLookup(services.store(), metrics);
    SubmissionWriter writer = createWriter(services, role, lookup);
    SubmissionForwarder forwarder = new SubmissionForwarder(peers, otherNodes, clock);
    LeaderSearch search =
        new LeaderSearch(role, peers, connectivity, otherNodes, clock, services.lock());
    heartbeats = new HeartbeatHandler(role, peers, clock);
    submissions =
        new SubmissionHandler(
            services.settings(), role, machineTypes, writer, forwarder, connectivity);
    queries = router(new JobQueryHandler(lookup), services, role, peers, search);
    cancellations =
        router(new JobCancellationHandler(lookup, clock), services, role, peers, search);
  }

  private static JobRequestRouter router(
      JobRequestHandler handler,
      ControllerServices services,
      LeadershipRole role,
      PeerClient peers,
      LeaderSearch search) {
    return new JobRequestRouter(
        handler,
        role,
        peers,
        search,
        services.clock(),
        services.lock(),
        services.metrics().jobRequests());
  }

  private static SubmissionWriter createWriter(
      ControllerServices services, LeadershipRole role, JobLookup lookup) {
    KeyValueStore store = services.store();
    Lock lock = services.lock();
    return new SubmissionWriter(
        store,
        lookup,
        new DependencyCheck(role, lookup, lock),
        role,
        services.clock(),
        lock,
        services.settings().storeLimits().valueBytes());
  }

  /** The routes for users, workers and health checks. */
  List<Route> forClients() {
    return List.of(
        new Route("POST", ControllerNode.HEARTBEAT_PATH::equals, heartbeats::handle),
        new Route(
            "POST",
            JobPath.SUBMISSIONS::equals,
            withDeadline(ResponseDeadline.WRITE_S, submissions::handle)),
        jobRoute("POST", JobPath::cancelledJob, cancellations),
        jobRoute("GET", JobPath::queriedJob, queries),
        new Route(
            "GET", HEALTH_PATH::equals, (request, origin, answer) -> answer.accept(health())));
  }

  /** The routes for other controllers. */
  List<Route> forPeers() {
    List<Route> routes = new ArrayList<>(forClients());
    routes.add(new Route("POST", DependentSubmissionPath::matches, submissions::handle));
    return routes;
  }

  private Route jobRoute(
      String method, Function<String, Optional<JobId>> parseJob, JobRequestRouter router) {
    double deadlineS = router.deadlineS();
    Route.Handler handler =
        withDeadline(
            deadlineS,
            (request, origin, answer) ->
                router.handle(
                    parseJob.apply(request.path()).orElseThrow(), request, origin, answer));
    return new Route(
        method,
        path -> parseJob.apply(path).isPresent(),
        (request, origin, answer) ->
            handler.handle(
                request,
                origin,
                origin == RequestOrigin.CLIENT
                    ? observed(parseJob.apply(request.path()).orElseThrow(), deadlineS, answer)
                    : answer));
  }

  /** Returns a callback that records whether the user's request was answered, and passes it on. */
  private Consumer<Response> observed(JobId id, double deadlineS, Consumer<Response> answer) {
    MonotonicTime received = clock.now();
    return response -> {
      if (!Responses.isBusy(response)) {
        metrics.recordAnswer(id);
      } else {
        boolean late = clock.now().secondsSince(received) >= deadlineS;
        metrics.count(late ? Event.REFUSED_AT_DEADLINE : Event.REFUSED);
        metrics.recordRefusal(id, clock.now());
      }
      answer.accept(response);
    };
  }

  private void countDiscarded(Response response) {
    if (!Responses.isBusy(response)) {
      metrics.count(Event.DISCARDED_RESPONSE);
    }
  }

  private Route.Handler withDeadline(double deadlineS, Route.Handler handler) {
    return (request, origin, answer) ->
        handler.handle(
            request,
            origin,
            ResponseDeadline.within(deadlineS, clock, answer, this::countDiscarded));
  }

  /**
   * A node without machine types can't validate submissions, and an isolated one can't answer
   * users.
   */
  private Response health() {
    return machineTypes.isEmpty() || connectivity.isIsolated()
        ? Responses.busy()
        : Response.of(Responses.OK);
  }
}
