package org.ternhinge.ledger;

import org.ternhinge.model.JobId;

/** Names of the keys in the key-value store; other versions use the same, so they stay. */
public final class Keys {
  /** The number of the current leadership; every leader's write is conditional on its version. */
  public static final String TERM = "term";

  /** Who leads, on a lease. */
  public static final String LEADER = "leader";

  /** Machine types of the cloud as they were last read from it. */
  public static final String MACHINE_TYPES = "flavors";

  /** Prefix of unfinished jobs' records. */
  public static final String JOBS = "j/";

  /** Prefix of final records of jobs that have ended, which are kept for ever. */
  public static final String JOB_ENDS = "f/";

  /** Prefix of the records of provision requests under way. */
  public static final String PROVISIONS = "r/";

  /** Prefix of the records of machines being returned. */
  public static final String RELEASES = "x/";

  private Keys() {}

  /** The first segment of an unfinished job's record. */
  public static String job(JobId id) {
    return JOBS + id.value();
  }

  /** A segment of an unfinished job's record. */
  static String segment(JobId id, int segment) {
    return segment == 0 ? job(id) : JOBS + id.value() + "/" + segment;
  }

  /** A job's final record. */
  public static String end(JobId id) {
    return JOB_ENDS + id.value();
  }
}
