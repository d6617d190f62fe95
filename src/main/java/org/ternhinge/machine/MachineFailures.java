package org.ternhinge.machine;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.function.Predicate;
import org.ternhinge.model.JobId;

/**
 * The failures of tasks on one machine since a task last succeeded there. Guarded by the
 * controller's lock.
 */
final class MachineFailures {
  /** Failures of healthy jobs, which are attributed to the machine. */
  private int ofHealthyJobs;

  /** Failures by job, of jobs that are not known to be healthy. */
  private final Object2IntOpenHashMap<JobId> ofOtherJobs = new Object2IntOpenHashMap<>();

  /** Records that a task of a healthy job has failed. */
  void healthyJobFailed() {
    ofHealthyJobs++;
  }

  /** Records that a task of a job that is not known to be healthy has failed. */
  void otherJobFailed(JobId job) {
    ofOtherJobs.addTo(job, 1);
  }

  /** A job has proved healthy: its failures here are attributed to the machine. */
  void jobIsHealthy(JobId job) {
    ofHealthyJobs += ofOtherJobs.removeInt(job);
  }

  /** A task has succeeded on the machine. */
  void clear() {
    ofHealthyJobs = 0;
    ofOtherJobs.clear();
  }

  /** Number of failed tasks of healthy jobs. */
  int countOfHealthyJobs() {
    return ofHealthyJobs;
  }

  /** Number of other jobs with failures that satisfy a condition; each counts once. */
  int countOfOtherJobs(Predicate<JobId> condition) {
    int count = 0;
    for (JobId job : ofOtherJobs.keySet()) {
      count += condition.test(job) ? 1 : 0;
    }
    return count;
  }
}
