package org.ternhinge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.sim.SimClock;

/** States that follow from the times since the last responses. */
class NodeConnectivityTest {
  private final SimClock clock = new SimClock();

  @ParameterizedTest(name = "store responded {0} s ago, peer {1} s ago")
  @CsvSource({
    // seconds since the last response of the store and of a peer, peers are configured,
    // store probe due, peer probe due, store unresponsive, isolated
    "1, 1, true,  false, false, false, false",
    "3, 1, true,  true,  false, false, false",
    "1, 9, true,  false, true,  false, false",
    "4, 4, true,  true,  true,  true,  false",
    "9, 1, true,  true,  false, true,  false",
    "9, 9, true,  true,  true,  true,  true",
    "9, 9, false, true,  true,  true,  false",
  })
  void nodeIsIsolatedWithoutAnyResponse(
      int storeS,
      int peersS,
      boolean hasPeers,
      boolean storeProbeDue,
      boolean peerProbeDue,
      boolean storeUnresponsive,
      boolean isolated) {
    NodeConnectivity connectivity = new NodeConnectivity(clock, hasPeers);
    for (int left = 10; left > 0; left--) {
      if (left == storeS) {
        connectivity.recordStoreResponse();
      }
      if (left == peersS) {
        connectivity.recordPeerResponse();
      }
      clock.runFor(1);
    }
    assertEquals(storeProbeDue, connectivity.isStoreProbeDue());
    assertEquals(peerProbeDue, connectivity.isPeerProbeDue());
    assertEquals(storeUnresponsive, connectivity.isStoreUnresponsive());
    assertEquals(isolated, connectivity.isIsolated());
  }
}
