package org.ternhinge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;

/** Decisions whether a worker's heartbeat is relayed (-) or redirected (R). */
class HeartbeatRelayPolicyTest {
  private static final MachineId WORKER = new MachineId("n-1");

  @ParameterizedTest
  @CsvSource({
    "'0', R", // redirected to the leader
    "'0 6', R-", // returned soon: it could not reach the leader
    "'0 6 9 35', R---", // relayed for a limited time
    "'0 6 37', R-R", // then redirected again
    "'0 6 37 43', R-R-", // still unable to reach the leader
    "'0 60', RR" // a much later heartbeat does not imply that the leader was unreachable
  })
  void workerThatReturnsSoonIsRelayed(String times, String expected) {
    HeartbeatRelayPolicy policy = new HeartbeatRelayPolicy();
    StringBuilder seen = new StringBuilder();
    for (String t : times.split(" ", -1)) {
      MonotonicTime at = new MonotonicTime(0).plusSeconds(Double.parseDouble(t));
      seen.append(policy.shouldRelay(WORKER, at) ? '-' : 'R');
    }
    assertEquals(expected, seen.toString());
  }
}
