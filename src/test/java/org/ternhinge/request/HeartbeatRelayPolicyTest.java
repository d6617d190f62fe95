package org.ternhinge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;

/** When a worker's heartbeat is relayed to the leader. */
class HeartbeatRelayPolicyTest {
  private static final MachineId WORKER = new MachineId("n-1");

  @ParameterizedTest
  @CsvSource({
    "'0', R", // sent to the leader
    "'0 6', R-", // back soon: it found nobody
    "'0 6 9 35', R---", // relayed for a while
    "'0 6 37', R-R", // then sent to the leader again
    "'0 6 37 43', R-R-", // still cut
    "'0 60', RR" // a heartbeat much later says nothing of the leader
  })
  void aWorkerThatComesBackSoonIsRelayed(String times, String expected) {
    HeartbeatRelayPolicy policy = new HeartbeatRelayPolicy();
    StringBuilder seen = new StringBuilder();
    for (String t : times.split(" ", -1)) {
      MonotonicTime at = new MonotonicTime(0).plusSeconds(Double.parseDouble(t));
      seen.append(policy.shouldRelay(WORKER, at) ? '-' : 'R');
    }
    assertEquals(expected, seen.toString());
  }
}
