package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.ternhinge.model.Term;

/** Descriptions of the reasons, which operators search for in logs. */
class LeadershipLossTest {
  static Stream<Arguments> descriptions() {
    return Stream.of(
        Arguments.of(new LeadershipLoss.LeaseExpired(), "the lease has ended"),
        Arguments.of(new LeadershipLoss.HigherTermSeen(new Term(7)), "a worker has seen term 7"),
        Arguments.of(new LeadershipLoss.WatchFellBehind(), "the watch fell behind"),
        Arguments.of(new LeadershipLoss.WriteConflict(" j/wk-1 "), "conflict on j/wk-1 "),
        Arguments.of(new LeadershipLoss.InvalidTransaction(), "invalid transaction"),
        Arguments.of(new LeadershipLoss.WriteOvertaken(false), "a write of ours was overtaken"),
        Arguments.of(
            new LeadershipLoss.WriteOvertaken(true),
            "a write of ours was overtaken by another term"));
  }

  @ParameterizedTest(name = "{1}")
  @MethodSource("descriptions")
  void descriptionMatchesLogMessage(LeadershipLoss loss, String description) {
    assertEquals(description, loss.description());
  }
}
