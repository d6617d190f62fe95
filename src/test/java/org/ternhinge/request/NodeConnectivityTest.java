package org.ternhinge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.sim.SimClock;

/** What follows from the time since the last answers. */
class NodeConnectivityTest {
  private final SimClock clock = new SimClock();

  @ParameterizedTest(name = "{0} s after the store''s, {1} s after a peer''s answer")
  @CsvSource({
    // seconds since the store's and the peers' last answer, peers are configured,
    // store quiet, peers quiet, store unresponsive, isolated
    "1, 1, true,  false, false, false, false",
    "3, 1, true,  true,  false, false, false",
    "1, 9, true,  false, true,  false, false",
    "4, 4, true,  true,  true,  true,  false",
    "9, 1, true,  true,  false, true,  false",
    "9, 9, true,  true,  true,  true,  true",
    "9, 9, false, true,  true,  true,  false",
  })
  void silenceOfBothIsolatesANode(
      int storeS,
      int peersS,
      boolean hasPeers,
      boolean storeQuiet,
      boolean peersQuiet,
      boolean storeUnresponsive,
      boolean isolated) {
    NodeConnectivity connectivity = new NodeConnectivity(clock, hasPeers);
    for (int left = 10; left > 0; left--) {
      if (left == storeS) {
        connectivity.storeAnswered();
      }
      if (left == peersS) {
        connectivity.peerAnswered();
      }
      clock.runFor(1);
    }
    assertEquals(storeQuiet, connectivity.isStoreQuiet());
    assertEquals(peersQuiet, connectivity.arePeersQuiet());
    assertEquals(storeUnresponsive, connectivity.isStoreUnresponsive());
    assertEquals(isolated, connectivity.isIsolated());
  }
}
