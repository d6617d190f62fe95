package org.ternhinge.request;

import java.util.Optional;
import org.ternhinge.wire.DependencyCheckResult;

/**
 * The paths by which controllers forward jobs with dependencies to each other. A version that would
 * drop the dependencies does not know these paths and answers 404, so it never accepts such a job.
 * The path also carries the result of the dependency check where the sender has made it.
 */
public final class DependentSubmissionPath {
  private static final String UNCHECKED = "/peer/submissions";
  private static final String NONE_CANCELLED = UNCHECKED + "/after-live";
  private static final String SOME_CANCELLED = UNCHECKED + "/after-cancelled";

  private DependentSubmissionPath() {}

  /** Whether another node forwards a job with dependencies by this path. */
  public static boolean matches(String path) {
    return path.equals(UNCHECKED) || verdictIn(path).isPresent();
  }

  /** The path for a job whose dependencies were checked with this result, or were not checked. */
  static String of(Optional<DependencyCheckResult> verdict) {
    return verdict
        .map(known -> known.cancelled() ? SOME_CANCELLED : NONE_CANCELLED)
        .orElse(UNCHECKED);
  }

  /** The sender's result of the dependency check, if the path carries one. */
  static Optional<DependencyCheckResult> verdictIn(String path) {
    return switch (path) {
      case NONE_CANCELLED -> Optional.of(new DependencyCheckResult(false));
      case SOME_CANCELLED -> Optional.of(new DependencyCheckResult(true));
      default -> Optional.empty();
    };
  }
}
