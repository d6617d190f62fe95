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
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.sim.SimClock;

/** Probes of a node without requests, and the connectivity that results from them. */
class ConnectivityProbeTest {
  private static final List<String> OTHERS = List.of("b", "c");

  private final LeadershipFixture fixture = new LeadershipFixture();
  private final SimClock clock = fixture.clock;
  private final ReentrantLock lock = new ReentrantLock();
  private final List<String> asked = new ArrayList<>();
  private boolean peersAnswer;

  private final PeerTransport transport =
      new PeerTransport() {
        @Override
        public void send(
            String node, Request request, double timeoutS, Consumer<Optional<Response>> callback) {
          asked.add(node);
          callback.accept(peersAnswer ? Optional.of(Response.of(503)) : Optional.empty());
        }

        @Override
        public void closeConnection(String node) {}
      };

  @ParameterizedTest(name = "store responds {0}, peers respond {1}")
  @CsvSource({
    // store responds, peers respond, nodes probed in 9.5 s, store unresponsive, isolated
    "true,  true,  b c b,         false, false",
    "true,  false, b c b,         false, false",
    "false, true,  b c b,         true,  false",
    "false, false, b c b c b c b, true,  true",
  })
  void silentPeersAreProbedInTurnWhileStoreIsSilent(
      boolean storeAnswers,
      boolean peersAnswer,
      String expected,
      boolean unresponsive,
      boolean isolated) {
    if (!storeAnswers) {
      fixture.store.pauseReads();
    }
    this.peersAnswer = peersAnswer;
    NodeConnectivity connectivity = new NodeConnectivity(clock, true);
    PeerClient peers = new PeerClient(transport, lock, connectivity, clock);
    new ConnectivityProbe(fixture.store, peers, OTHERS, connectivity, clock, lock).start();
    clock.runFor(9.5);
    assertEquals(expected, String.join(" ", asked));
    assertEquals(unresponsive, connectivity.isStoreUnresponsive());
    assertEquals(isolated, connectivity.isIsolated());
  }
}
