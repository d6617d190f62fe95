package org.ternhinge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.sim.SimClock;
import org.ternhinge.wire.DependencyCheckResult;

/** Nodes to which a submission is forwarded, and the response that is passed on. */
class SubmissionForwarderTest {
  private static final Request SUBMISSION = new Request("POST", "/submissions", new byte[] {'{'});
  private static final List<String> OTHERS = List.of("b", "c", "d", "e");

  private final SimClock clock = new SimClock();
  private final Map<String, Integer> statuses = new HashMap<>();
  private final List<String> asked = new ArrayList<>();
  private final List<String> paths = new ArrayList<>();
  private final List<String> closedConnections = new ArrayList<>();
  private Response response;
  private Optional<DependencyCheckResult> verdict = Optional.empty();

  private final PeerTransport peers =
      new PeerTransport() {
        @Override
        public void send(
            String node, Request request, double timeoutS, Consumer<Optional<Response>> callback) {
          asked.add(node);
          paths.add(request.path());
          callback.accept(Optional.ofNullable(statuses.get(node)).map(Response::of));
        }

        @Override
        public void closeConnection(String node) {
          closedConnections.add(node);
        }
      };

  private final PeerClient client =
      new PeerClient(peers, new ReentrantLock(), new NodeConnectivity(clock, true), clock);
  private final SubmissionForwarder forwarder = new SubmissionForwarder(client, OTHERS, clock);

  private void forward(String leader, boolean dependent) {
    response = null;
    asked.clear();
    forwarder.forward(
        Optional.ofNullable(leader), SUBMISSION, dependent, verdict, r -> response = r);
  }

  /**
   * Sets the status of each listed node, for example {@code b=503 c=201}; other nodes give no
   * response.
   */
  private void setResponses(String list) {
    for (String each : list == null ? new String[0] : list.split(" ", -1)) {
      String[] nodeAndStatus = each.split("=", 2);
      statuses.put(nodeAndStatus[0], Integer.valueOf(nodeAndStatus[1]));
    }
  }

  @ParameterizedTest(name = "leader {0}, responses {1}")
  @CsvSource({
    // leader, responses, nodes asked, status
    "d, d=201,                   d,       201",
    "d, d=200,                   d,       200",
    "d, d=422,                   d,       422",
    "d, d=503 b=201,             d b,     201",
    "d, b=201,                   d b,     201",
    " , b=404 c=201,             b c,     201",
    "d, b=503 c=503 d=503 e=201, d b c e, 201",
    " , ,                        b c d e, 503",
  })
  void firstFinalResponseIsReturned(String leader, String answers, String expected, int status) {
    setResponses(answers);
    forward(leader, false);
    assertEquals(status, response.status());
    assertEquals(List.of(expected.split(" ")), asked);
  }

  @Test
  void alreadyAskedLeaderIsSkipped() {
    setResponses("b=201 c=201");
    forwarder.forwardToFollowers("b", SUBMISSION, verdict, r -> response = r);
    assertEquals(201, response.status());
    assertEquals(List.of("c"), asked);
  }

  @Test
  void unresponsiveNodeIsSkippedAndItsConnectionClosedIfItStaysSilent() {
    setResponses("b=503 c=201 e=503");
    forward("d", false);
    assertEquals(List.of("d", "b", "c"), asked);
    assertEquals(List.of(), closedConnections);
    assertTrue(forwarder.isUnresponsive("d"));
    forward("d", false);
    assertEquals(List.of("c"), asked);
    clock.runFor(2.1);
    forward("d", false);
    assertEquals("d", asked.get(0));
    assertEquals(List.of("d"), closedConnections);
    clock.runFor(2.1);
    setResponses("d=201");
    forward("d", false);
    assertEquals(List.of("d"), asked);
  }

  @Test
  void submissionsAreDistributedOverNodes() {
    setResponses("b=201 c=201 d=201 e=201");
    List<String> all = new ArrayList<>();
    for (int i = 0; i < OTHERS.size(); i++) {
      forward(null, false);
      all.addAll(asked);
    }
    assertEquals(OTHERS, all);
  }

  /** A version that does not support dependencies would accept the job without them. */
  @Test
  void dependentJobUsesPathUnknownToOlderVersions() {
    setResponses("b=404 c=201");
    forward(null, true);
    assertEquals(201, response.status());
    assertEquals(List.of("/peer/submissions", "/peer/submissions"), paths);
  }

  /** The leader is known to support dependencies, but its version may not know the peer path. */
  @Test
  void leaderReceivesOriginalRequest() {
    setResponses("d=503 b=201");
    forward("d", true);
    assertEquals(List.of("/submissions", "/peer/submissions"), paths);
  }

  @ParameterizedTest(name = "cancelled {0}")
  @CsvSource({"false", "true"})
  void dependencyCheckResultIsForwarded(boolean cancelled) {
    verdict = Optional.of(new DependencyCheckResult(cancelled));
    setResponses("b=201");
    forward(null, true);
    assertTrue(DependentSubmissionPath.matches(paths.get(0)));
    assertEquals(verdict, DependentSubmissionPath.verdictIn(paths.get(0)));
    assertEquals(verdict, DependencyCheckResult.read(verdict.get().write()));
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "{}",
    "{\"dependencies_cancelled\":null}",
    "{\"dependencies_cancelled\":\"no\"}",
    "[]",
    "oops"
  })
  void responseWithoutVerdictHasNone(String body) {
    assertEquals(
        Optional.empty(), DependencyCheckResult.read(body.getBytes(StandardCharsets.US_ASCII)));
  }
}
