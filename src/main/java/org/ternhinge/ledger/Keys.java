package org.ternhinge.ledger;

import org.ternhinge.model.JobId;

/** Keys in the key-value store; shared with other versions and therefore not to be changed. */
public final class Keys {
  /** The current term; every write of a leader is conditional on the revision of this key. */
  public static final String TERM = "term";

  /** The current leader, held under a lease. */
  public static final String LEADER = "leader";

  /** Machine types as last read from the cloud. */
  public static final String MACHINE_TYPES = "flavors";

  /** Prefix of the records of unfinished jobs. */
  public static final String JOBS = "j/";

  /** Prefix of the final records of ended jobs, which are never deleted. */
  public static final String FINAL_RECORDS = "f/";

  /** Prefix of the records of provision requests in progress. */
  public static final String PROVISIONS = "r/";

  /** Prefix of the records of machines being returned. */
  public static final String RELEASES = "x/";

  private Keys() {}

  /** Key of the first segment of an unfinished job's record. */
  public static String job(JobId id) {
    return JOBS + id.value();
  }

  /** Key of a segment of an unfinished job's record. */
  static String segment(JobId id, int segment) {
    return segment == 0 ? job(id) : JOBS + id.value() + "/" + segment;
  }

  /** Key of a job's final record. */
  public static String finalRecord(JobId id) {
    return FINAL_RECORDS + id.value();
  }
}
