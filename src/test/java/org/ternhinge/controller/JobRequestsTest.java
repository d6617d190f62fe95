package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Tuning;
import org.ternhinge.election.Election;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.LeadershipLoss;
import org.ternhinge.ledger.RecordCodec;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.metrics.JobRequestMetrics;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.JobId;
import org.ternhinge.request.JobCancellationHandler;
import org.ternhinge.request.JobLookup;
import org.ternhinge.request.JobQueryHandler;
import org.ternhinge.request.JobRequestHandler;
import org.ternhinge.request.JobRequestRouter;
import org.ternhinge.request.LeaderSearch;
import org.ternhinge.request.NodeConnectivity;
import org.ternhinge.request.PeerClient;
import org.ternhinge.request.PeerTransport;
import org.ternhinge.request.RequestOrigin;
import org.ternhinge.sim.DirectStore;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.wire.Json;

/** How a follower answers queries and cancellations. */
class JobRequestsTest {
  private static final JobId JOB = new JobId("wk-1");

  private final SimClock clock = new SimClock();
  private final ReentrantLock lock = new ReentrantLock();
  private final DirectStore store = new DirectStore(new InMemoryStore(clock));
  private final Election election =
      new Election("node-0", store, clock, Tuning.DEFAULT, 1, lock, new SplittableRandom(1));
  private final LeadershipRole role = new LeadershipRole("node-0", election);
  private final List<String> askedNodes = new ArrayList<>();
  private Integer leaderStatus;
  private Response answer;

  private final PeerTransport peers =
      new PeerTransport() {
        @Override
        public void send(
            String node, Request request, double timeoutS, Consumer<Optional<Response>> to) {
          askedNodes.add(node);
          to.accept(Optional.ofNullable(leaderStatus).map(Response::of));
        }

        @Override
        public void closeConnection(String node) {}
      };

  private final NodeConnectivity connectivity = new NodeConnectivity(clock, true);
  private final PeerClient client = new PeerClient(peers, lock, connectivity, clock);
  private final LeaderSearch search =
      new LeaderSearch(role, client, connectivity, List.of("node-1"), clock, lock);
  private final JobLookup lookup = new JobLookup(store, new JobRequestMetrics());

  private void put(Change change) {
    AsyncCalls.logExceptions(
        store.compareAndSwap(
            new CompareAndSwap(List.of(), List.of(change)), RequestPriority.ACCEPT));
  }

  /** Makes the node observe that another one leads, if the leader is to be known. */
  private void observeLeader(boolean leaderKnown) {
    if (!leaderKnown) {
      return;
    }
    put(new Change.Put(Keys.LEADER, Json.object().put("node", "node-1").put("inc", "a"), 0));
    election.start(
        new Election.Listener() {
          @Override
          public void elected(Authority authority) {
            throw new AssertionError("another node leads");
          }

          @Override
          public void leadershipLost(LeadershipLoss loss) {
            throw new AssertionError("this node has never led");
          }
        });
  }

  /**
   * Sets up the node's view of the leader and the stored job.
   *
   * @param status the leader's answer, or null if it does not answer
   */
  private void arrange(boolean leaderKnown, Integer status, String stored) {
    observeLeader(leaderKnown);
    storeJob(stored);
    leaderStatus = status;
  }

  private void storeJob(String stored) {
    if (stored.equals("queued")) {
      put(
          new Change.Put(
              Keys.job(JOB),
              RecordCodec.encodeNew(SubmissionBuilder.job(JOB.value(), "batch", 1).spec(), 1, 8192),
              0));
    } else if (!stored.equals("absent")) {
      put(new Change.Put(Keys.finalRecord(JOB), Json.object().put("s", stored).put("n", 1), 0));
    }
  }

  private void handle(JobRequestHandler handler, String method, boolean fromPeer) {
    JobRequestRouter router =
        new JobRequestRouter(handler, role, client, search, clock, lock, new JobRequestMetrics());
    RequestOrigin origin = fromPeer ? RequestOrigin.PEER : RequestOrigin.CLIENT;
    router.handle(JOB, new Request(method, "/", new byte[0]), origin, r -> answer = r);
  }

  @ParameterizedTest(name = "leader known {0}, answers {1}, stored {2}, from a peer {3}")
  @CsvSource({
    // leader known, its status, stored job, from a peer, nodes asked, status
    "true,  200, queued,    false, 1, 200",
    "true,  404, queued,    false, 1, 404",
    "true,  503, queued,    false, 1, 200",
    "true,     , queued,    false, 1, 200",
    "true,     , absent,    false, 1, 404",
    "false,    , queued,    false, 0, 200",
    "false,    , done,      false, 0, 200",
    "false,    , absent,    false, 0, 404",
    "true,  200, queued,    true,  0, 503",
  })
  void followerAnswersQuery(
      boolean leaderKnown,
      Integer status,
      String stored,
      boolean fromPeer,
      int nodesAsked,
      int expected) {
    arrange(leaderKnown, status, stored);
    handle(new JobQueryHandler(lookup), "GET", fromPeer);
    assertEquals(expected, answer.status());
    assertEquals(nodesAsked, askedNodes.size());
  }

  @ParameterizedTest(name = "leader known {0}, answers {1}, stored {2}, from a peer {3}")
  @CsvSource({
    // leader known, its status, stored job, from a peer, nodes asked, status
    "true,  200, queued,    false, 1, 200",
    "true,  503, queued,    false, 1, 503",
    "true,     , queued,    false, 1, 503",
    "true,     , cancelled, false, 1, 200",
    "true,  503, done,      false, 1, 200",
    "false,    , queued,    false, 1, 503",
    "false, 200, queued,    false, 1, 200",
    "false,    , done,      false, 0, 200",
    "false,    , absent,    false, 0, 404",
    "true,  200, done,      true,  0, 503",
  })
  void followerAnswersCancellation(
      boolean leaderKnown,
      Integer status,
      String stored,
      boolean fromPeer,
      int nodesAsked,
      int expected) {
    arrange(leaderKnown, status, stored);
    handle(new JobCancellationHandler(lookup, clock), "POST", fromPeer);
    assertEquals(expected, answer.status());
    assertEquals(nodesAsked, askedNodes.size());
  }
}
