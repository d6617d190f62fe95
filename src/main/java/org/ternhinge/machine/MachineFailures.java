package org.ternhinge.machine;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.function.Predicate;
import org.ternhinge.model.JobId;

/**
 * Failures of tasks on one machine since the last success on it. Guarded by the controller's lock.
 */
final class MachineFailures {
  /** Number of failures of healthy jobs, which are attributed to the machine. */
  private int healthyJobFailures;

  /** Number of failures by job, for jobs that are not known to be healthy. */
  private final Object2IntOpenHashMap<JobId> unprovenJobFailures = new Object2IntOpenHashMap<>();

  /** Records the failure of a task of a healthy job. */
  void recordHealthyJobFailure() {
    healthyJobFailures++;
  }

  /** Records the failure of a task of a job that is not known to be healthy. */
  void recordUnprovenJobFailure(JobId job) {
    unprovenJobFailures.addTo(job, 1);
  }

  /** Attributes the failures of a job to the machine, since the job has proved healthy. */
  void markJobHealthy(JobId job) {
    healthyJobFailures += unprovenJobFailures.removeInt(job);
  }

  /** Discards all failures after a task has succeeded on the machine. */
  void clear() {
    healthyJobFailures = 0;
    unprovenJobFailures.clear();
  }

  int healthyJobFailureCount() {
    return healthyJobFailures;
  }

  /**
   * Returns the number of jobs that are not known to be healthy, have failed here and satisfy a
   * condition; each counts once.
   */
  int unprovenJobCount(Predicate<JobId> condition) {
    int count = 0;
    for (JobId job : unprovenJobFailures.keySet()) {
      count += condition.test(job) ? 1 : 0;
    }
    return count;
  }
}
