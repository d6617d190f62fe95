package org.ternhinge.model;

/**
 * The unique id of a job, chosen by its user.
 *
 * @param value the id in the form used in messages
 */
public record JobId(String value) implements Comparable<JobId> {
  private static final String PREFIX = "wk-";
  private static final int MAX_DIGITS = 20;

  /**
   * Whether a text consists of {@code wk-} and one to twenty digits. Avoids a regular expression,
   * since it is called for each task of each heartbeat.
   */
  public static boolean isValid(String text) {
    if (text == null
        || !text.startsWith(PREFIX)
        || text.length() == PREFIX.length()
        || text.length() > PREFIX.length() + MAX_DIGITS) {
      return false;
    }
    for (int i = PREFIX.length(); i < text.length(); i++) {
      char character = text.charAt(i);
      if (character < '0' || character > '9') {
        return false;
      }
    }
    return true;
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  // Explicit for performance; see the package documentation.
  @Override
  public boolean equals(Object other) {
    return other instanceof JobId that && that.value.equals(value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
