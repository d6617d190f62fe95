package org.ternhinge.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.wire.DependencyCheckResult;

/** Where a submission is forwarded that this node can't write itself. */
interface SubmissionFallback {
  /**
   * Forwards the submission.
   *
   * @param verdict the result of the dependency check, if it was made
   * @param answer gets the final answer, or a busy one if no node accepts the submission
   */
  void forward(Optional<DependencyCheckResult> verdict, Consumer<Response> answer);

  /** The fallback of a submission that has been forwarded to all others before. */
  static SubmissionFallback none() {
    return (verdict, answer) -> answer.accept(Responses.busy());
  }

  /**
   * The fallback of a submission that another node has forwarded: that node tries the next one
   * itself, and need not check the same dependencies again.
   */
  static SubmissionFallback backToPeer() {
    return (verdict, answer) ->
        answer.accept(verdict.map(Responses::busy).orElseGet(Responses::busy));
  }
}
