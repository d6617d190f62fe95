package org.ternhinge.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.Outcome;

/** Retry delays by outcome. */
class RetryPolicyTest {
  @ParameterizedTest
  @CsvSource({"limit, 0.3, true", "refused, 1.5, false", "lost, 1.5, false"})
  void onlyRateLimitShortensDelay(String word, double delayS, boolean rateLimited) {
    Outcome<Integer> outcome = ScriptedCloud.outcome(word, () -> 1);
    assertEquals(delayS, RetryPolicy.RECORDED_REQUESTS.delayS(outcome));
    assertEquals(rateLimited, RetryPolicy.isRateLimited(outcome));
  }

  @Test
  void failedCallUsesDelayOfFailures() {
    Outcome<Integer> failed = Outcome.unknown("the client failed");
    assertEquals(1.5, RetryPolicy.RECORDED_REQUESTS.delayS(failed));
  }
}
