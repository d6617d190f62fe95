package org.ternhinge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.sim.SimClock;

/** Effects of a response of another controller, or of its absence. */
class PeerClientTest {
  private final SimClock clock = new SimClock();
  private final ReentrantLock lock = new ReentrantLock();
  private final List<String> closedConnections = new ArrayList<>();
  private Optional<Response> transportResponse;
  private Response received;
  private boolean underLock;

  private final PeerTransport peers =
      new PeerTransport() {
        @Override
        public void send(
            String node, Request request, double timeoutS, Consumer<Optional<Response>> callback) {
          callback.accept(transportResponse);
        }

        @Override
        public void closeConnection(String node) {
          closedConnections.add(node);
        }
      };

  @ParameterizedTest(name = "status {0}")
  @CsvSource({
    // status, status passed on, whether the connection is closed
    "200, 200, false",
    "503, 503, false",
    "404, 404, false",
    " ,   503, true",
  })
  void responseIsPassedOnUnderLock(Integer status, int expected, boolean closed) {
    transportResponse = Optional.ofNullable(status).map(Response::of);
    NodeConnectivity connectivity = new NodeConnectivity(clock, true);
    clock.runFor(6);
    assertEquals(true, connectivity.isIsolated(), "isolated after 6 s without any response");
    new PeerClient(peers, lock, connectivity)
        .sendOrBusy(
            "b",
            new Request("GET", "/healthz", new byte[0]),
            1,
            response -> {
              received = response;
              underLock = lock.isHeldByCurrentThread();
            });
    assertEquals(expected, received.status());
    assertEquals(true, underLock);
    assertEquals(closed ? List.of("b") : List.of(), closedConnections);
    assertEquals(closed, connectivity.isIsolated());
  }
}
