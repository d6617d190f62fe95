package org.ternhinge.ledger;

import java.util.SortedSet;
import java.util.TreeSet;

/** Formats the open attempts of a job as text, for comparison in tests. */
final class OpenAttempts {
  private OpenAttempts() {}

  /**
   * One entry per attempt, such as {@code 03=1@n-000007#1/0}: index, number, machine, epoch, zone.
   */
  static SortedSet<String> of(Job job) {
    SortedSet<String> out = new TreeSet<>();
    for (Attempt attempt : job.openAttempts()) {
      out.add(
          String.format(
              "%02d=%s@%s#%s/%d",
              attempt.task().index(),
              attempt.number(),
              attempt.machine(),
              attempt.epoch(),
              attempt.zone()));
    }
    return out;
  }
}
