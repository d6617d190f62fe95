package org.ternhinge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.http.Response;

/** Which response a user gets from the leader and from the fallback, in each order. */
class LeaderCallTest {
  private final List<Integer> responses = new ArrayList<>();
  private int fallbacks;
  private Consumer<Response> fallbackCallback;

  private final LeaderCall call =
      new LeaderCall(
          Runnable::run,
          callback -> {
            fallbacks++;
            fallbackCallback = callback;
          },
          response -> responses.add(response.status()));

  /** Plays one step; {@code leader -} is a leader that does not respond. */
  private void play(String step) {
    String[] words = step.split(" ", -1);
    switch (words[0]) {
      case "slow" -> call.startFallback();
      case "leader" ->
          call.handleLeaderResponse(
              words[1].equals("-")
                  ? Optional.empty()
                  : Optional.of(Response.of(Integer.parseInt(words[1]))));
      default -> fallbackCallback.accept(Response.of(Integer.parseInt(words[1])));
    }
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    // steps, fallbacks, responses
    "leader 200, 0, 200",
    "leader 404;slow, 0, 404",
    "leader 503, 1, ''",
    "leader 503;fallback 200, 1, 200",
    "leader 503;fallback 503, 1, 503",
    "leader -;fallback 404, 1, 404",
    "leader -;fallback 503, 1, 503",
    "slow;leader 200, 1, 200",
    "slow;leader 200;fallback 200, 1, 200",
    "slow;fallback 200;leader 200, 1, 200",
    "slow;fallback 503, 1, ''",
    "slow;fallback 503;leader 200, 1, 200",
    "slow;fallback 503;leader 503, 1, 503",
    "slow;fallback 503;leader -, 1, 503",
    "slow;leader -;fallback 503, 1, 503",
    "slow;leader 503;fallback 200, 1, 200",
  })
  void firstFinalResponseIsPassedOnOnce(String steps, int expectedFallbacks, String expected) {
    for (String step : steps.split(";", -1)) {
      play(step);
    }
    assertEquals(expectedFallbacks, fallbacks);
    assertEquals(expected.isEmpty() ? List.of() : List.of(Integer.parseInt(expected)), responses);
  }
}
