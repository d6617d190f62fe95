package org.ternhinge.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.http.LoopbackServer;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.limit.TokenBucket;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.sim.SimClock;
import org.ternhinge.wire.ProvisionRequest;

/** Mapping of the cloud's HTTP responses to outcomes. */
class HttpCloudTest {
  private static final ProvisionRequest REQUEST = new ProvisionRequest("r-1", "g8", "a", true, 2);

  private final TokenBucket tokens = new TokenBucket(new SimClock(), 10);

  private Outcome<List<MachineId>> provision(int status, String body) throws Exception {
    try (LoopbackServer server = new LoopbackServer(status, body)) {
      HttpCloud cloud = new HttpCloud(server.client(), server.endpoint(), tokens);
      return cloud.provision(REQUEST).get(30, TimeUnit.SECONDS);
    }
  }

  @ParameterizedTest(name = "{0} {1}: {2}, detail \"{3}\"")
  @CsvSource(
      delimiter = '|',
      value = {
        "400 | {} | INVALID | 400",
        "429 | {} | RATE_LIMITED | 429",
        "503 | {\"error\":\"no capacity\"} | CONFLICT | no capacity",
        "503 | {\"error\":\"trouble\"} | REFUSED | trouble"
      })
  void knownErrorIsNotApplied(int status, String body, Reason reason, String detail)
      throws Exception {
    assertEquals(Outcome.notApplied(reason, detail), provision(status, body));
  }

  @ParameterizedTest(name = "{0} {1}: {2}")
  @CsvSource(
      delimiter = '|',
      value = {"200 | {} | velar: a list is needed", "503 | x | not JSON", "404 | {} | status 404"})
  void unusableAnswerIsUnknown(int status, String body, String detail) throws Exception {
    assertEquals(Outcome.unknown(detail), provision(status, body));
  }

  @Test
  void provisionReturnsMachineIds() throws Exception {
    assertEquals(
        Outcome.applied(List.of(new MachineId("n-7"), new MachineId("n-8"))),
        provision(200, "{\"velar\":[\"n-7\",\"n-8\"]}"));
  }

  @ParameterizedTest(name = "{0}: pauses {1}")
  @CsvSource({"429, true", "503, false"})
  void onlyRateLimitResponsePausesCalls(int status, boolean pauses) throws Exception {
    Outcome<List<MachineId>> unused = provision(status, "{}");
    assertEquals(pauses, tokens.secondsUntil(RequestPriority.RENEWAL, 1) > 0.2);
  }
}
