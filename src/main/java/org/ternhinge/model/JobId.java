package org.ternhinge.model;

/** A job's name, chosen by its user. */
public record JobId(String value) implements Comparable<JobId> {
  private static final String PREFIX = "wk-";
  private static final int MOST_DIGITS = 20;

  /**
   * {@code wk-} and one to twenty digits; by hand, for it is asked for each task of each heartbeat.
   */
  public static boolean isValid(String text) {
    if (text == null
        || !text.startsWith(PREFIX)
        || text.length() == PREFIX.length()
        || text.length() > PREFIX.length() + MOST_DIGITS) {
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

  // By hand, as in the other small types that are compared and looked up for each heartbeat: what
  // the
  // compiler makes for a record goes through method handles, which the quick compiler that these
  // machines need does not see through (13 us to compare seven tasks, 0.6 us for two terms).
  @Override
  public boolean equals(Object other) {
    return other instanceof JobId t && t.value.equals(value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
