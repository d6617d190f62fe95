package org.ternhinge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
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
  private double responseDelayS;
  private Response received;
  private boolean underLock;

  private final PeerTransport peers =
      new PeerTransport() {
        @Override
        public void send(
            String node, Request request, double timeoutS, Consumer<Optional<Response>> callback) {
          Optional<Response> response = transportResponse;
          clock.schedule(responseDelayS, () -> callback.accept(response));
        }

        @Override
        public void closeConnection(String node) {
          closedConnections.add(node);
        }
      };

  @ParameterizedTest(name = "status {0} after {1} s")
  @CsvSource({
    // status, after seconds, status passed on, whether the connection is closed
    "200, 0,   200, false",
    "503, 0,   503, false",
    "404, 0,   404, false",
    "200, 5,   200, false",
    " ,   0,   503, false",
    " ,   1.9, 503, false",
    " ,   2,   503, true",
    " ,   5,   503, true",
  })
  void responseIsPassedOnUnderLock(Integer status, double delayS, int expected, boolean closed) {
    transportResponse = Optional.ofNullable(status).map(Response::of);
    responseDelayS = delayS;
    NodeConnectivity connectivity = new NodeConnectivity(clock, true);
    clock.runFor(6);
    assertEquals(true, connectivity.isIsolated(), "isolated after 6 s without any response");
    new PeerClient(peers, lock, connectivity, clock)
        .sendOrBusy(
            "b",
            new Request("GET", "/healthz", new byte[0]),
            1,
            response -> {
              received = response;
              underLock = lock.isHeldByCurrentThread();
            });
    clock.runFor(delayS);
    assertEquals(expected, received.status());
    assertEquals(true, underLock);
    assertEquals(closed ? List.of("b") : List.of(), closedConnections);
    assertEquals(status == null, connectivity.isIsolated());
  }

  @Test
  void responseToAnotherRequestShowsThatTheConnectionWorks() {
    PeerClient client = new PeerClient(peers, lock, new NodeConnectivity(clock, true), clock);
    Request request = new Request("GET", "/healthz", new byte[0]);
    transportResponse = Optional.empty();
    responseDelayS = 3;
    client.sendOrBusy("b", request, 3, response -> received = response);
    clock.runFor(2);
    transportResponse = Optional.of(Response.of(200));
    responseDelayS = 0;
    client.sendOrBusy("b", request, 1, response -> {});
    clock.runFor(1);
    assertEquals(List.of(), closedConnections);
  }
}
