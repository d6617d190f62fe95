package org.ternhinge.ledger;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.Optional;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobState;

/**
 * Cache of the final states of recently ended jobs, for users who query them shortly afterwards.
 */
final class RecentlyEndedJobs {
  /** Maximum number of states; the oldest are evicted. */
  private static final int CAPACITY = 4096;

  private final Object2ObjectLinkedOpenHashMap<JobId, JobState> states =
      new Object2ObjectLinkedOpenHashMap<>();

  /** Adds a final state as the most recent one. */
  void add(JobState state) {
    states.putAndMoveToLast(state.id(), state);
    if (states.size() > CAPACITY) {
      states.removeFirst();
    }
  }

  /** Returns the final state of a job, if it is cached. */
  Optional<JobState> find(JobId id) {
    return Optional.ofNullable(states.get(id));
  }
}
