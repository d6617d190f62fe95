package org.ternhinge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;

/** Every call to a service completes with an outcome, including on errors. */
class ServiceClientTest {
  private static final CallTimeouts TIMEOUTS = CallTimeouts.of(20);

  private static Outcome<Integer> send(
      LoopbackServer server, boolean hasToken, Function<byte[], Outcome<Integer>> decoder)
      throws Exception {
    ServiceClient client =
        new ServiceClient(server.client(), server.endpoint(), ServiceClient::unexpectedStatus);
    return client
        .send(() -> hasToken, Request.post("/a", new byte[2]), TIMEOUTS, decoder)
        .get(30, TimeUnit.SECONDS);
  }

  @Test
  void bodyOfStatus200IsDecoded() throws Exception {
    try (LoopbackServer server = new LoopbackServer(200, "four")) {
      assertEquals(Outcome.applied(4), send(server, true, body -> Outcome.applied(body.length)));
      assertEquals("POST", server.requests().get(0).method());
      assertEquals(2, server.requests().get(0).body().length);
    }
  }

  @Test
  void otherStatusIsMappedToAnOutcome() throws Exception {
    try (LoopbackServer server = new LoopbackServer(418, "")) {
      assertEquals(
          Outcome.unknown("status 418"), send(server, true, body -> Outcome.applied(body.length)));
    }
  }

  @Test
  void requestWithoutATokenIsNotSent() throws Exception {
    try (LoopbackServer server = new LoopbackServer(200, "")) {
      assertEquals(
          Outcome.notApplied(Reason.RATE_LIMITED, "no tokens"),
          send(server, false, body -> Outcome.applied(body.length)));
      assertEquals(List.of(), server.requests());
    }
  }

  @Test
  void exceptionOfTheDecoderLeavesTheOutcomeUnknown() throws Exception {
    try (LoopbackServer server = new LoopbackServer(200, "")) {
      Outcome<Integer> outcome =
          send(
              server,
              true,
              body -> {
                throw new IllegalStateException("broken");
              });
      assertEquals(Outcome.unknown("java.lang.IllegalStateException: broken"), outcome);
    }
  }
}
