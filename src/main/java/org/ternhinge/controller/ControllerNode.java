package org.ternhinge.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.api.Submissions;
import org.ternhinge.election.Election;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.LedgerLoader;
import org.ternhinge.ledger.RecordCodec;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.state.Change;
import org.ternhinge.state.StateStore;
import org.ternhinge.state.Txn;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.DependencyVerdict;
import org.ternhinge.wire.Flavor;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.Redirect;
import org.ternhinge.wire.WireException;
import org.ternhinge.wire.WorkerReport;

/**
 * One controller: takes users' requests and workers' reports, and leads while it holds the lease.
 * Any node accepts jobs by itself, straight into the state service; cancels and progress are the
 * leader's, and what the leader can't be asked is read from the state service.
 */
public final class ControllerNode {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerNode.class);

  /** Where workers report. */
  public static final String WORKERS_PATH = "/agent/beat";

  private static final int RETRY_AFTER_S = 1;
  private static final double ASK_S = 0.8;
  private static final double CANCEL_S = 4;
  private static final int ACCEPT_TRIES = 3;

  /** Shorter than the time after which a worker drops the answer. */
  private static final double RELAY_S = 2.5;

  /** The way to the other nodes. */
  public interface Peers {
    void ask(String node, Request request, double timeoutS, Consumer<Response> answer);

    void reset(String node);
  }

  /** Hears when this node's share of the state service's limits changes. */
  public interface Share {
    void leads(boolean leading);
  }

  private final ControllerServices around;
  private final Lock lock;
  private final StateStore store;
  private final Election election;
  private final Peers peers;
  private final Share share;
  private final Map<String, Flavor> flavors = new LinkedHashMap<>();
  private final JobLookup lookup;
  private final ReportRelay detours = new ReportRelay();
  private final NodeConnectivity contact;
  private final SubmissionRelay submissionRelay;
  private Leadership lead;

  public ControllerNode(ControllerServices around, Election election, Peers peers, Share share) {
    this.around = around;
    this.lock = around.lock();
    this.store = around.store();
    this.election = election;
    this.peers = peers;
    this.share = share;
    this.lookup = new JobLookup(store);
    List<String> others = List.copyOf(around.settings().peers().keySet());
    this.contact = new NodeConnectivity(store, peers, others, around.clock(), lock);
    this.submissionRelay =
        new SubmissionRelay(peers, others, around.clock(), lock, contact::peerAnswered);
  }

  public void start() {
    loadFlavors();
    contact.start();
    election.start(
        new Election.Listener() {
          @Override
          public void elected(Authority authority) {
            share.leads(true);
            lead = new Leadership(around, authority, flavors.values());
            lead.start();
          }

          @Override
          public void deposed(String why) {
            share.leads(false);
            Leadership over = lead;
            lead = null;
            over.stop();
          }
        });
    logMetrics();
  }

  private void logMetrics() {
    around
        .clock()
        .after(
            60,
            () -> {
              around.metrics().log();
              logMetrics();
            });
  }

  private void locked(Runnable action) {
    lock.lock();
    try {
      action.run();
    } finally {
      lock.unlock();
    }
  }

  private void later(double seconds, Runnable action) {
    around.clock().after(seconds, () -> locked(action));
  }

  // ---- machine types ----------------------------------------------------------------------------

  /** A copy in the state service spares a node that starts the wait for a cloud that is down. */
  private void loadFlavors() {
    store
        .get(Keys.FLAVORS, RequestPriority.BOOKKEEPING)
        .whenComplete(
            (o, e) ->
                locked(
                    () -> {
                      if (o instanceof Outcome.Applied<StateStore.Read> read
                          && read.value().entry().isPresent()) {
                        try {
                          learn(Flavor.readAll(read.value().entry().get().value()));
                          return;
                        } catch (WireException x) {
                          LOG.warn("machine types in the state service: {}", x.getMessage());
                        }
                      }
                      askCloud();
                    }));
  }

  private void askCloud() {
    around
        .cloud()
        .flavors()
        .whenComplete(
            (o, e) ->
                locked(
                    () -> {
                      if (o instanceof Outcome.Applied<List<Flavor>> applied) {
                        learn(applied.value());
                        JsonNode value = Flavor.writeAll(applied.value());
                        store.txn(
                            new Txn(
                                Map.of(Keys.FLAVORS, Revision.NONE),
                                List.of(new Change.Put(Keys.FLAVORS, value, 0))),
                            RequestPriority.BOOKKEEPING);
                      } else {
                        later(1, this::loadFlavors);
                      }
                    }));
  }

  private void learn(List<Flavor> known) {
    known.forEach(f -> flavors.put(f.name(), f));
    if (lead != null) {
      lead.learn(known);
    }
  }

  // ---- requests ---------------------------------------------------------------------------------

  /** Answers users, workers and health checks. */
  public void handle(Request request, Consumer<Response> answer) {
    locked(() -> route(request, false, answer));
  }

  /** Answers another node; what it asks is not passed on again. */
  public void handlePeer(Request request, Consumer<Response> answer) {
    locked(() -> route(request, true, answer));
  }

  private void route(Request request, boolean fromPeer, Consumer<Response> answer) {
    String path = request.path();
    if (path.equals(WORKERS_PATH)) {
      only("POST", request, answer, () -> report(request, fromPeer, answer));
    } else if (path.equals("/submissions")) {
      only("POST", request, answer, () -> submit(request, fromPeer, answer));
    } else if (SubmissionRelay.isDependentPath(path) && fromPeer) {
      only("POST", request, answer, () -> submit(request, true, answer));
    } else if (path.startsWith("/submissions/")) {
      String rest = path.substring("/submissions/".length());
      boolean cancels = rest.endsWith("/cancel");
      String name = cancels ? rest.substring(0, rest.length() - "/cancel".length()) : rest;
      if (!JobId.isValid(name)) {
        answer.accept(Response.of(404));
      } else if (cancels) {
        only("POST", request, answer, () -> cancel(new JobId(name), request, fromPeer, answer));
      } else {
        only("GET", request, answer, () -> query(new JobId(name), request, fromPeer, answer));
      }
    } else if (path.equals("/healthz")) {
      only("GET", request, answer, () -> answer.accept(health()));
    } else {
      answer.accept(Response.of(404));
    }
  }

  private static void only(
      String method, Request request, Consumer<Response> answer, Runnable then) {
    if (request.method().equals(method)) {
      then.run();
    } else {
      answer.accept(Response.of(405));
    }
  }

  private Response health() {
    return flavors.isEmpty() || contact.alone() ? Response.busy(RETRY_AFTER_S) : Response.of(200);
  }

  private boolean leads() {
    return lead != null && lead.ready() && election.valid();
  }

  private String otherLeader() {
    String name = election.leaderNode();
    return name == null || name.equals(around.settings().node()) ? null : name;
  }

  // ---- submissions ------------------------------------------------------------------------------

  private void submit(Request request, boolean fromPeer, Consumer<Response> answer) {
    JsonNode body;
    JobId id;
    try {
      body = Json.parse(request.body());
      String ref = body.isObject() ? Json.text(body, "ref") : null;
      if (!JobId.isValid(ref)) {
        throw new WireException("ref: not a job id");
      }
      id = new JobId(ref);
    } catch (WireException e) {
      answer.accept(error(400, e.getMessage()));
      return;
    }
    JobState known = leads() ? lead.stateOf(id) : null;
    if (known != null) {
      answer.accept(Response.of(200, known.brief()));
      return;
    }
    JobSpec spec;
    try {
      spec = JobSpec.read(body);
    } catch (WireException e) {
      unlessKnown(id, error(400, e.getMessage()), answer);
      return;
    }
    if (flavors.isEmpty()) {
      unlessKnown(id, Response.busy(RETRY_AFTER_S), answer);
      return;
    }
    String against = Submissions.against(spec, around.settings(), flavors);
    if (against != null) {
      unlessKnown(id, error(422, against), answer);
      return;
    }
    if (fromPeer) {
      accept(spec, SubmissionRelay.verdictIn(request.path()), Fallback.none(), answer);
      return;
    }
    String leader = otherLeader();
    boolean dependent = !spec.dependencies().isEmpty();
    boolean leaderTakesIt = leader != null && (!dependent || election.leaderKnowsDependencies());
    String first = leaderTakesIt ? leader : null;
    Fallback others =
        (verdict, then) -> submissionRelay.offer(first, null, request, dependent, verdict, then);
    if (contact.stateSilent()) {
      // An own write would only wait for its time-out; others may still reach the state service.
      others.offer(
          Optional.empty(),
          unlessBusy(answer, busy -> accept(spec, Optional.empty(), Fallback.none(), answer)));
    } else if (dependent && leaderTakesIt && !submissionRelay.isSilent(leader)) {
      // The leader knows from memory what this node would have to read. If its answer is lost and
      // it has accepted the job, the record is found to stand already.
      Fallback allButLeader =
          (verdict, then) -> submissionRelay.offer(null, leader, request, true, verdict, then);
      submissionRelay.askLeader(
          leader,
          request,
          unlessBusy(
              answer,
              busy -> accept(spec, DependencyVerdict.read(busy.body()), allButLeader, answer)));
    } else {
      accept(spec, Optional.empty(), others, answer);
    }
  }

  /** Who else may take a submission that this node can't. */
  private interface Fallback {
    /**
     * Offers the submission to others.
     *
     * @param verdict what is known of the jobs that it depends on
     */
    void offer(Optional<DependencyVerdict> verdict, Consumer<Response> answer);

    /** Another node has asked: it goes on by itself, and need not look at the same jobs again. */
    static Fallback none() {
      return (verdict, answer) ->
          answer.accept(
              verdict
                  .map(known -> new Response(503, known.write(), RETRY_AFTER_S))
                  .orElse(Response.busy(RETRY_AFTER_S)));
    }
  }

  /** Passes an answer on, and does something else instead where it says that nothing was taken. */
  private static Consumer<Response> unlessBusy(
      Consumer<Response> answer, Consumer<Response> otherwise) {
    return response -> {
      if (response.status() == 503) {
        otherwise.accept(response);
      } else {
        answer.accept(response);
      }
    };
  }

  private void accept(
      JobSpec spec,
      Optional<DependencyVerdict> verdict,
      Fallback fallback,
      Consumer<Response> answer) {
    if (spec.dependencies().isEmpty() || verdict.isPresent()) {
      write(spec, verdict, fallback, answer);
    } else {
      afterDependencies(
          spec,
          new ArrayDeque<>(spec.dependencies()),
          false,
          fallback,
          answer,
          found -> write(spec, Optional.of(found), fallback, answer));
    }
  }

  private void write(
      JobSpec spec,
      Optional<DependencyVerdict> verdict,
      Fallback fallback,
      Consumer<Response> answer) {
    int valueBytes = around.settings().stateLimits().valueBytes();
    ObjectNode record = RecordCodec.fresh(spec, around.clock().wallMillis(), valueBytes);
    write(spec, record, verdict, fallback, ACCEPT_TRIES, answer);
  }

  /**
   * Looks at the jobs that one depends on, each by a fresh look. Jobs never vanish, so what is
   * found here still holds when the acceptance is written; and what becomes of them in between, the
   * new job's own state follows.
   */
  private void afterDependencies(
      JobSpec spec,
      Deque<JobId> todo,
      boolean cancelledBefore,
      Fallback fallback,
      Consumer<Response> answer,
      Consumer<DependencyVerdict> then) {
    JobId next = todo.poll();
    if (next == null) {
      then.accept(new DependencyVerdict(cancelledBefore));
      return;
    }
    findDependency(
        next,
        found ->
            locked(
                () -> {
                  if (found == null) {
                    fallback.offer(Optional.empty(), answer);
                  } else if (found.isEmpty()) {
                    unlessKnown(spec.id(), error(422, next + " was never accepted"), answer);
                  } else if (found.get().service()) {
                    unlessKnown(spec.id(), error(422, next + " is a service"), answer);
                  } else {
                    boolean cancelled =
                        cancelledBefore || found.get().state().phase() == JobState.Phase.CANCELLED;
                    afterDependencies(spec, todo, cancelled, fallback, answer, then);
                  }
                }));
  }

  private void findDependency(JobId id, Consumer<Optional<JobLookup.Found>> then) {
    JobState known = leads() ? lead.stateOf(id) : null;
    if (known != null) {
      Job job = lead.job(id);
      then.accept(Optional.of(new JobLookup.Found(known, job != null && job.spec().isService())));
    } else {
      lookup.find(id, RequestPriority.ACCEPT, then);
    }
  }

  /** A known job is answered with its state, whatever this repeat of its submission looks like. */
  private void unlessKnown(JobId id, Response otherwise, Consumer<Response> answer) {
    lookup.find(
        id,
        RequestPriority.ACCEPT,
        found -> {
          if (found == null) {
            answer.accept(Response.busy(RETRY_AFTER_S));
          } else {
            answer.accept(
                found.map(known -> Response.of(200, known.state().brief())).orElse(otherwise));
          }
        });
  }

  private void write(
      JobSpec spec,
      ObjectNode record,
      Optional<DependencyVerdict> verdict,
      Fallback fallback,
      int tries,
      Consumer<Response> answer) {
    JobId id = spec.id();
    Map<String, Revision> none = new LinkedHashMap<>();
    none.put(Keys.job(id), Revision.NONE);
    none.put(Keys.end(id), Revision.NONE);
    Txn txn = new Txn(none, List.of(new Change.Put(Keys.job(id), record, 0)));
    store
        .txn(txn, RequestPriority.ACCEPT)
        .whenComplete(
            (o, e) ->
                locked(
                    () -> {
                      if (o instanceof Outcome.Applied<Revision> applied) {
                        adopt(record, applied.value());
                        JobState.Phase phase =
                            verdict.map(DependencyVerdict::phase).orElse(JobState.Phase.QUEUED);
                        JobState state = new JobState(id, phase, 0, 0);
                        answer.accept(Response.of(201, state.brief()));
                      } else if (o != null && o.isBecause(Reason.CONFLICT)) {
                        unlessKnown(id, Response.busy(RETRY_AFTER_S), answer);
                      } else if (o instanceof Outcome.NotApplied) {
                        fallback.offer(verdict, answer);
                      } else if (tries > 1) {
                        // Lost answer: the same again; if the first was carried out, its record is
                        // found to stand already.
                        write(spec, record, verdict, fallback, tries - 1, answer);
                      } else {
                        answer.accept(Response.busy(RETRY_AFTER_S));
                      }
                    }));
  }

  private void adopt(JsonNode record, Revision revision) {
    if (lead != null && lead.ready()) {
      try {
        Job job = LedgerLoader.read(record, revision, around.clock().now());
        lead.adopt(job, revision);
      } catch (WireException e) {
        throw new IllegalStateException("an own record can't be read", e);
      }
    }
  }

  private static Response error(int status, String message) {
    return Response.of(status, Json.bytes(Json.object().put("error", message)));
  }

  // ---- queries ----------------------------------------------------------------------------------

  private void query(JobId id, Request request, boolean fromPeer, Consumer<Response> answer) {
    if (leads()) {
      JobState state = lead.stateOf(id);
      if (state != null) {
        answer.accept(Response.of(200, state.full()));
      } else {
        queryStore(id, answer);
      }
      return;
    }
    String leader = otherLeader();
    if (fromPeer) {
      answer.accept(Response.busy(RETRY_AFTER_S));
    } else if (leader == null) {
      queryStore(id, answer);
    } else {
      peers.ask(
          leader,
          request,
          ASK_S,
          r -> {
            if (r == null) {
              peers.reset(leader);
            } else {
              locked(contact::peerAnswered);
            }
            if (r == null || r.status() == 503) {
              locked(() -> queryStore(id, answer));
            } else {
              answer.accept(r);
            }
          });
    }
  }

  private void queryStore(JobId id, Consumer<Response> answer) {
    lookup(
        id,
        found -> {
          if (found == null) {
            answer.accept(Response.busy(RETRY_AFTER_S));
          } else {
            answer.accept(
                found.map(s -> Response.of(200, s.full())).orElseGet(() -> Response.of(404)));
          }
        });
  }

  private void lookup(JobId id, Consumer<Optional<JobState>> then) {
    lookup.find(
        id,
        RequestPriority.QUERY,
        found -> then.accept(found == null ? null : found.map(JobLookup.Found::state)));
  }

  // ---- cancels ----------------------------------------------------------------------------------

  private void cancel(JobId id, Request request, boolean fromPeer, Consumer<Response> answer) {
    if (leads()) {
      cancelHere(id, answer);
      return;
    }
    String leader = otherLeader();
    if (fromPeer) {
      answer.accept(Response.busy(RETRY_AFTER_S));
    } else if (leader == null) {
      cancelOver(id, answer);
    } else {
      askLeader(
          leader,
          request,
          CANCEL_S,
          r -> {
            if (r.status() == 503) {
              locked(() -> cancelOver(id, answer));
            } else {
              answer.accept(r);
            }
          });
    }
  }

  private void cancelHere(JobId id, Consumer<Response> answer) {
    Job job = lead.job(id);
    if (job != null) {
      Once once = new Once(answer);
      lead.cancel(job, state -> once.accept(Response.of(200, state.brief())));
      later(CANCEL_S - 0.5, () -> once.accept(Response.busy(RETRY_AFTER_S)));
      return;
    }
    cancelOver(id, answer);
  }

  /** A job that is over, or cancelled already, needs no leader for its answer. */
  private void cancelOver(JobId id, Consumer<Response> answer) {
    lookup(
        id,
        found -> {
          if (found == null) {
            answer.accept(Response.busy(RETRY_AFTER_S));
          } else if (found.isEmpty()) {
            answer.accept(Response.of(404));
          } else if (found.get().phase() == JobState.Phase.DONE
              || found.get().phase() == JobState.Phase.CANCELLED) {
            answer.accept(Response.of(200, found.get().brief()));
          } else {
            answer.accept(Response.busy(RETRY_AFTER_S));
          }
        });
  }

  /** Lets only the first answer through. */
  private static final class Once implements Consumer<Response> {
    private Consumer<Response> answer;

    Once(Consumer<Response> answer) {
      this.answer = answer;
    }

    @Override
    public void accept(Response response) {
      if (answer != null) {
        answer.accept(response);
        answer = null;
      }
    }
  }

  // ---- reports ----------------------------------------------------------------------------------

  private void report(Request request, boolean fromPeer, Consumer<Response> answer) {
    WorkerReport report;
    try {
      report = WorkerReport.read(request.body());
    } catch (WireException e) {
      answer.accept(error(400, e.getMessage()));
      return;
    }
    beat(report, request, fromPeer, answer);
  }

  private void beat(
      WorkerReport report, Request request, boolean fromPeer, Consumer<Response> answer) {
    boolean valid = election.valid();
    if (lead != null && !lead.ready()) {
      // Without the ledger a lease must not be renewed: a cancelled task might live on by it.
      lead.whenReady(() -> beat(report, request, fromPeer, answer));
      return;
    }
    if (lead != null && election.mayAnswer() && (valid || lead.mayKeepAlive(report))) {
      Optional<List<Command>> commands = lead.report(report, valid);
      if (lead != null && commands.isEmpty()) {
        answer.accept(Response.busy(RETRY_AFTER_S));
        return;
      }
      if (lead != null) {
        answer.accept(Response.of(200, Command.answer(lead.authority().term(), commands.get())));
        return;
      }
    }
    String leader = otherLeader();
    if (leader == null || fromPeer) {
      answer.accept(Response.busy(RETRY_AFTER_S));
    } else if (detours.relays(report.machine(), around.clock().now())) {
      // This worker can't reach the leader.
      askLeader(leader, request, RELAY_S, answer);
    } else {
      answer.accept(Response.of(421, new Redirect(leader).write()));
    }
  }

  /** Hands a request to the leader and its live answer back; 503 where none comes. */
  private void askLeader(
      String leader, Request request, double timeoutS, Consumer<Response> answer) {
    peers.ask(
        leader,
        request,
        timeoutS,
        r -> {
          if (r == null) {
            peers.reset(leader);
          } else {
            locked(contact::peerAnswered);
          }
          answer.accept(r == null ? Response.busy(RETRY_AFTER_S) : r);
        });
  }
}
