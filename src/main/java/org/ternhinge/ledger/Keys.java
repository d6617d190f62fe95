package org.ternhinge.ledger;

import org.ternhinge.model.JobId;

/** Names of the keys in the state service. */
public final class Keys {
  public static final String TERM = "term";
  public static final String LEADER = "leader";
  public static final String FLAVORS = "flavors";
  public static final String JOBS = "j/";
  public static final String FINALS = "f/";
  public static final String RENTALS = "r/";
  public static final String RELEASES = "x/";

  private Keys() {}

  public static String job(JobId id) {
    return JOBS + id.value();
  }

  static String segment(JobId id, int segment) {
    return segment == 0 ? job(id) : JOBS + id.value() + "/" + segment;
  }

  public static String end(JobId id) {
    return FINALS + id.value();
  }
}
