package org.ternhinge.model;

import java.util.regex.Pattern;

/** A job's name, chosen by its user. */
public record JobId(String value) implements Comparable<JobId> {
  private static final Pattern FORM = Pattern.compile("wk-[0-9]{1,20}");

  public static boolean isValid(String text) {
    return text != null && FORM.matcher(text).matches();
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
