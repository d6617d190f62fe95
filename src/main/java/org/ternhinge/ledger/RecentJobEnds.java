package org.ternhinge.ledger;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.Optional;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobState;

/** Final states of jobs that ended recently, for users who ask for a job shortly after its end. */
final class RecentJobEnds {
  /** How many are kept; the oldest are dropped. */
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

  /** The final state of a job, if it is still kept. */
  Optional<JobState> find(JobId id) {
    return Optional.ofNullable(states.get(id));
  }
}
