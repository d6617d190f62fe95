package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobState;

/** Bounded cache of final states. */
class RecentlyEndedJobsTest {
  private static final int CAPACITY = 4096;

  private final RecentlyEndedJobs ends = new RecentlyEndedJobs();

  private static JobState end(int number) {
    return new JobState(new JobId("wk-" + number), JobState.Phase.DONE, number, 0);
  }

  private Optional<JobState> find(int number) {
    return ends.find(new JobId("wk-" + number));
  }

  @Test
  void unendedJobIsNotFound() {
    assertEquals(Optional.empty(), find(1));
  }

  @Test
  void oldestStateIsEvictedFirst() {
    for (int i = 0; i <= CAPACITY; i++) {
      ends.add(end(i));
    }
    assertEquals(Optional.empty(), find(0));
    assertEquals(Optional.of(end(1)), find(1));
    assertEquals(Optional.of(end(CAPACITY)), find(CAPACITY));
  }

  @Test
  void stateAddedAgainIsMostRecent() {
    for (int i = 0; i < CAPACITY; i++) {
      ends.add(end(i));
    }
    ends.add(end(0));
    ends.add(end(CAPACITY));
    assertEquals(Optional.of(end(0)), find(0));
    assertEquals(Optional.empty(), find(1));
  }
}
