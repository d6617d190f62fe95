package org.ternhinge.machine;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.function.Predicate;
import org.ternhinge.model.JobId;

/** The failures of tasks on one machine since a task was last done there. */
final class MachineFailures {
  /** Failures of jobs that are known to be in order: these are the machine's. */
  private int ofHealthyJobs;

  /** Failures of jobs of which nothing is known yet. */
  private final Object2IntOpenHashMap<JobId> ofOtherJobs = new Object2IntOpenHashMap<>();

  /** A task of a job that is known to be in order has failed. */
  void healthyJobFailed() {
    ofHealthyJobs++;
  }

  /** A task of a job of which nothing was done yet has failed. */
  void otherJobFailed(JobId job) {
    ofOtherJobs.addTo(job, 1);
  }

  /** A job turns out to be in order: its failures here were the machine's. */
  void jobIsHealthy(JobId job) {
    ofHealthyJobs += ofOtherJobs.removeInt(job);
  }

  /** A task was done on the machine: it is well. */
  void clear() {
    ofHealthyJobs = 0;
    ofOtherJobs.clear();
  }

  /** How many tasks of jobs in order have failed. */
  int countOfHealthyJobs() {
    return ofHealthyJobs;
  }

  /** How many other jobs have failed, of those that a condition holds for. */
  int countOfOtherJobs(Predicate<JobId> condition) {
    return (int) ofOtherJobs.keySet().stream().filter(condition).count();
  }
}
