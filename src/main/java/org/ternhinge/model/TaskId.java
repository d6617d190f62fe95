package org.ternhinge.model;

/**
 * The id of a task of a job.
 *
 * @param job the job that the task belongs to
 * @param index zero-based index of the task in the job
 */
public record TaskId(JobId job, int index) {
  /** Maximum number of digits of an index, so that it cannot overflow an {@code int}. */
  private static final int MAX_INDEX_DIGITS = 7;

  /**
   * Parses a task id such as {@code wk-000412/3}.
   *
   * @throws IllegalArgumentException when the text is not a task id
   */
  public static TaskId parse(String text) {
    int slash = text.lastIndexOf('/');
    int indexDigits = text.length() - slash - 1;
    if (slash <= 0 || indexDigits == 0 || indexDigits > MAX_INDEX_DIGITS) {
      throw invalidTaskId(text);
    }
    String job = text.substring(0, slash);
    if (!JobId.isValid(job)) {
      throw invalidTaskId(text);
    }
    int index = 0;
    for (int i = slash + 1; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character < '0' || character > '9') {
        throw invalidTaskId(text);
      }
      index = index * 10 + (character - '0');
    }
    return new TaskId(new JobId(job), index);
  }

  private static IllegalArgumentException invalidTaskId(String text) {
    return new IllegalArgumentException("not a task id: " + text);
  }

  @Override
  public String toString() {
    return job.value() + "/" + index;
  }

  // Explicit for performance; see the package documentation.
  @Override
  public boolean equals(Object other) {
    return other instanceof TaskId that && that.index == index && that.job.equals(job);
  }

  @Override
  public int hashCode() {
    return 31 * job.hashCode() + index;
  }
}
