package org.ternhinge.machine;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.function.Predicate;
import org.ternhinge.model.JobId;

/**
 * Failures of tasks on one machine since the last success on it. Guarded by the controller's lock.
 */
final class MachineFailures {
  /** Number of failures of healthy jobs, which are attributed to the machine. */
  private int ofHealthyJobs;

  /** Number of failures by job, for jobs that are not known to be healthy. */
  private final Object2IntOpenHashMap<JobId> ofOtherJobs = new Object2IntOpenHashMap<>();

  /** Records the failure of a task of a healthy job. */
  void healthyJobFailed() {
    ofHealthyJobs++;
  }

  /** Records the failure of a task of a job that is not known to be healthy. */
  void otherJobFailed(JobId job) {
    ofOtherJobs.addTo(job, 1);
  }

  /** Attributes the failures of a job to the machine, since the job has proved healthy. */
  void jobIsHealthy(JobId job) {
    ofHealthyJobs += ofOtherJobs.removeInt(job);
  }

  /** Discards all failures after a task has succeeded on the machine. */
  void clear() {
    ofHealthyJobs = 0;
    ofOtherJobs.clear();
  }

  int countOfHealthyJobs() {
    return ofHealthyJobs;
  }

  /**
   * Returns the number of jobs that are not known to be healthy, have failed here and satisfy a
   * condition; each counts once.
   */
  int countOfOtherJobs(Predicate<JobId> condition) {
    int count = 0;
    for (JobId job : ofOtherJobs.keySet()) {
      count += condition.test(job) ? 1 : 0;
    }
    return count;
  }
}
