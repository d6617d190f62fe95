package org.ternhinge.request;

import java.util.Optional;
import org.ternhinge.wire.DependencyCheckResult;

/**
 * The paths with which controllers forward jobs with dependencies to each other. A version that
 * would ignore the dependencies does not know these paths and responds with 404, so it never
 * accepts such a job. The path also carries the result of the dependency check if the sender has
 * made it.
 */
public final class DependentSubmissionPath {
  private static final String UNCHECKED = "/peer/submissions";
  private static final String NONE_CANCELLED = UNCHECKED + "/after-live";
  private static final String SOME_CANCELLED = UNCHECKED + "/after-cancelled";

  private DependentSubmissionPath() {}

  /** Whether a request with this path is a job with dependencies that another node forwards. */
  public static boolean matches(String path) {
    return path.equals(UNCHECKED) || verdictIn(path).isPresent();
  }

  /** The path for a job whose dependency check had this result, or for an unchecked job. */
  static String of(Optional<DependencyCheckResult> verdict) {
    return verdict
        .map(known -> known.cancelled() ? SOME_CANCELLED : NONE_CANCELLED)
        .orElse(UNCHECKED);
  }

  /** The result of the sender's dependency check, if the path carries one. */
  static Optional<DependencyCheckResult> verdictIn(String path) {
    return switch (path) {
      case NONE_CANCELLED -> Optional.of(new DependencyCheckResult(false));
      case SOME_CANCELLED -> Optional.of(new DependencyCheckResult(true));
      default -> Optional.empty();
    };
  }
}
