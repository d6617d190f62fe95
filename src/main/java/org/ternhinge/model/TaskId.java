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
      char c = text.charAt(i);
      if (c < '0' || c > '9') {
        return null;
      }
      index = index * 10 + (c - '0');
    }
    return new TaskId(new JobId(job), index);
  }

  @Override
  public String toString() {
    return job.value() + "/" + index;
  }
}
