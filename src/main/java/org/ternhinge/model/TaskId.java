package org.ternhinge.model;

/**
 * One task of a job.
 *
 * @param job the job that the task belongs to
 * @param index the task's number in the job, from 0
 */
public record TaskId(JobId job, int index) {
  /** Digits of an index in a message, so that it never overflows an {@code int}. */
  private static final int MAX_INDEX_DIGITS = 7;

  /**
   * Parses {@code wk-000412/3}.
   *
   * @throws IllegalArgumentException when the text is no task id
   */
  public static TaskId parse(String text) {
    int slash = text.lastIndexOf('/');
    int indexDigits = text.length() - slash - 1;
    if (slash <= 0 || indexDigits == 0 || indexDigits > MAX_INDEX_DIGITS) {
      throw notATask(text);
    }
    String job = text.substring(0, slash);
    if (!JobId.isValid(job)) {
      throw notATask(text);
    }
    int index = 0;
    for (int i = slash + 1; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character < '0' || character > '9') {
        throw notATask(text);
      }
      index = index * 10 + (character - '0');
    }
    return new TaskId(new JobId(job), index);
  }

  private static IllegalArgumentException notATask(String text) {
    return new IllegalArgumentException("not a task: " + text);
  }

  @Override
  public String toString() {
    return job.value() + "/" + index;
  }

  // Written out for speed; the package documentation says why.
  @Override
  public boolean equals(Object other) {
    return other instanceof TaskId that && that.index == index && that.job.equals(job);
  }

  @Override
  public int hashCode() {
    return 31 * job.hashCode() + index;
  }
}
