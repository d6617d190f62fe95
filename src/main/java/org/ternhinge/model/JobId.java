package org.ternhinge.model;

/** A job's name, chosen by its user. */
public record JobId(String value) implements Comparable<JobId> {
  private static final String PREFIX = "wk-";
  private static final int MOST_DIGITS = 20;

  /**
   * {@code wk-} and one to twenty digits; by hand, for it is asked for each task of each report.
   */
  public static boolean isValid(String text) {
    if (text == null
        || !text.startsWith(PREFIX)
        || text.length() == PREFIX.length()
        || text.length() > PREFIX.length() + MOST_DIGITS) {
      return false;
    }
    for (int i = PREFIX.length(); i < text.length(); i++) {
      char c = text.charAt(i);
      if (c < '0' || c > '9') {
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
}
