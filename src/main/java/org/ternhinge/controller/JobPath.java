package org.ternhinge.controller;

import java.util.Optional;
import org.ternhinge.model.JobId;

/** The paths of requests about one job. */
final class JobPath {
  static final String SUBMISSIONS = "/submissions";

  private static final String JOB_PREFIX = SUBMISSIONS + "/";
  private static final String CANCEL_SUFFIX = "/cancel";

  private JobPath() {}

  /** The job whose state this path queries; empty for any other path. */
  static Optional<JobId> queriedJob(String path) {
    return path.startsWith(JOB_PREFIX)
        ? parse(path.substring(JOB_PREFIX.length()))
        : Optional.empty();
  }

  /** The job that this path cancels; empty for any other path. */
  static Optional<JobId> cancelledJob(String path) {
    return path.endsWith(CANCEL_SUFFIX)
        ? queriedJob(path.substring(0, path.length() - CANCEL_SUFFIX.length()))
        : Optional.empty();
  }

  private static Optional<JobId> parse(String name) {
    return JobId.isValid(name) ? Optional.of(new JobId(name)) : Optional.empty();
  }
}
