package org.ternhinge.round;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Objective;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.sim.SubmissionJson;

/** The number of jobs that are expected to arrive. */
class ArrivalRatesTest {
  private static final MonotonicTime START = new MonotonicTime(0);

  /**
   * Room is reserved for 45 s of arrivals plus their standard deviation, if jobs of the class have
   * to start sooner than a machine boots.
   */
  @ParameterizedTest(name = "{1} arrivals {2} s apart, {3} s later, wait limit {0} s: {4} expected")
  @CsvSource({
    "18, 0, 0, 0, 0",
    "18, 1, 0, 0, 1",
    "18, 4, 0, 0, 4",
    "18, 9, 10, 0, 7",
    "18, 9, 10, 80, 4",
    "18, 9, 10, 150, 2",
    "18, 9, 10, 181, 0",
    "44, 4, 0, 0, 4",
    "45, 4, 0, 0, 0",
    "350, 4, 0, 0, 0"
  })
  void expectedJobs(double maxWaitS, int arrivals, double apartS, double afterS, int expected) {
    ArrivalRates rates =
        new ArrivalRates(
            List.of(
                new Objective("wait", Optional.of("c"), 400),
                new Objective("wait", Optional.of("c"), maxWaitS),
                new Objective("finished", Optional.of("c"), 1),
                new Objective("wait", Optional.empty(), 1)));
    MonotonicTime now = START;
    for (int i = 0; i < arrivals; i++) {
      now = START.plusSeconds(i * apartS);
      rates.recordArrival(
          SubmissionJson.parse(SubmissionJson.smallJob("wk-" + i, "batch", 1)), now);
    }
    assertEquals(expected, rates.expectedJobs(now.plusSeconds(afterS), 1).size());
  }
}
