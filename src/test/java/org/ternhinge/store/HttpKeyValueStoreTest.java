package org.ternhinge.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Tuning;
import org.ternhinge.http.LoopbackServer;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.limit.TokenBucket;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.SimClock;
import org.ternhinge.wire.Json;

/** Conversion of HTTP responses into outcomes, and rate limiting. */
class HttpKeyValueStoreTest {
  private static final double RATE_PER_S = 10;
  private static final CompareAndSwap WRITE =
      new CompareAndSwap(List.of(), List.of(new Change.Put("a", Json.object(), 0)));

  private final SimClock clock = new SimClock();
  private final TokenBucket requests = new TokenBucket(clock, RATE_PER_S);
  private final TokenBucket writes = new TokenBucket(clock, RATE_PER_S);

  private HttpKeyValueStore store(LoopbackServer server) {
    return new HttpKeyValueStore(
        server.client(),
        server.endpoint(),
        requests,
        writes,
        ResponseTimeouts.of(clock, Tuning.DEFAULT));
  }

  private static <T> T await(CompletableFuture<T> call) throws Exception {
    return call.get(30, TimeUnit.SECONDS);
  }

  private Outcome<Revision> write(int status, String body) throws Exception {
    try (LoopbackServer server = new LoopbackServer(status, body)) {
      return await(store(server).compareAndSwap(WRITE, RequestPriority.RENEWAL));
    }
  }

  /** Outcomes of the responses to a transaction. */
  @Nested
  class TransactionResponses {
    @ParameterizedTest(name = "{0} {1}: {2}, detail \"{3}\"")
    @CsvSource(
        delimiter = '|',
        quoteCharacter = '\'',
        value = {
          "400 | {\"error\":\"no such lease\"} | INVALID | '{\"error\":\"no such lease\"}'",
          "404 | {} | NOT_FOUND | ''",
          "409 | {\"failed\":[\"a\",\"b\"]} | CONFLICT | ' a b '",
          "410 | {} | TOO_OLD | ''",
          "429 | {} | TOO_MANY_REQUESTS | 429",
          "503 | {} | REFUSED | 503"
        })
    void definedErrorIsNotApplied(int status, String body, Reason reason, String detail)
        throws Exception {
      assertEquals(Outcome.notApplied(reason, detail), write(status, body));
    }

    @ParameterizedTest(name = "{0} {1}: {2}")
    @CsvSource(
        delimiter = '|',
        value = {
          "200 | {} | breytingatal: an integer is needed",
          "200 | x | not JSON",
          "409 | x | not JSON",
          "500 | {} | status 500"
        })
    void unusableResponseIsUnknown(int status, String body, String detail) throws Exception {
      assertEquals(Outcome.unknown(detail), write(status, body));
    }

    @Test
    void appliedTransactionReturnsItsRevision() throws Exception {
      assertEquals(Outcome.applied(new Revision(432)), write(200, "{\"breytingatal\":432}"));
    }
  }

  /** Effects of exhausted tokens and of responses that reject the rate. */
  @Nested
  class RateLimits {
    @ParameterizedTest(name = "status {0}: paused {1}")
    @CsvSource({"200, false", "429, true", "503, false"})
    void onlyTooManyRequestsPausesRequestsAndWrites(int status, boolean pauses) throws Exception {
      Outcome<Revision> unused = write(status, "{\"breytingatal\":1}");
      assertEquals(pauses, requests.secondsUntil(RequestPriority.RENEWAL, 1) > 0.2);
      assertEquals(pauses, writes.secondsUntil(RequestPriority.RENEWAL, 1) > 0.2);
    }

    @Test
    void callWithoutTokenIsNotSent() throws Exception {
      requests.pauseAfterRejection();
      try (LoopbackServer server = new LoopbackServer(200, "{}")) {
        assertEquals(
            Outcome.notApplied(Reason.RATE_LIMITED, "no tokens"),
            await(store(server).get("a", RequestPriority.RENEWAL)));
        assertEquals(List.of(), server.requests());
      }
    }

    @Test
    void transactionNeedsWriteTokenPerChange() throws Exception {
      writes.pauseAfterRejection();
      assertEquals(
          Outcome.notApplied(Reason.RATE_LIMITED, "no tokens"), write(200, "{\"breytingatal\":1}"));
    }
  }

  /** Results of reads and watches. */
  @Nested
  class Reads {
    @Test
    void missingKeyIsEmptyResult() throws Exception {
      try (LoopbackServer server = new LoopbackServer(404, "{\"breytingatal\":431}")) {
        assertEquals(
            Outcome.applied(new KeyValueStore.ReadResult(Optional.empty())),
            await(store(server).get("a/b", RequestPriority.RENEWAL)));
        assertEquals("/keys/a/b", server.requests().get(0).path());
      }
    }

    @Test
    void watchReturnsValuesAndRemovals() throws Exception {
      String log =
          "{\"breytingatal\":433,\"log\":[{\"set\":\"c/9\",\"v\":{},\"utgafunumer\":433},"
              + "{\"remove\":\"c/d\",\"utgafunumer\":432}]}";
      try (LoopbackServer server = new LoopbackServer(200, log)) {
        assertEquals(
            Outcome.applied(
                new KeyValueStore.WatchResult(
                    new Revision(433),
                    List.of(
                        new Change.Observed("c/9", Json.object(), new Revision(433)),
                        new Change.Observed("c/d", null, new Revision(432))))),
            await(store(server).watch("c/", new Revision(431), 10)));
      }
    }
  }
}
