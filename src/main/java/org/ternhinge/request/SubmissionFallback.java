package org.ternhinge.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.wire.DependencyVerdict;

/** Who else may take a submission that this node can't write itself. */
interface SubmissionFallback {
  /**
   * Offers the submission to others.
   *
   * @param verdict what is known of the jobs that it depends on
   * @param answer gets the final answer, or that nobody takes it
   */
  void offer(Optional<DependencyVerdict> verdict, Consumer<Response> answer);

  /** The fallback of a submission that all others have been offered before. */
  static SubmissionFallback nobody() {
    return (verdict, answer) -> answer.accept(Responses.busy());
  }

  /**
   * The fallback of a submission that another node has offered: that node goes on by itself, and
   * need not look at the same dependencies again.
   */
  static SubmissionFallback backToPeer() {
    return (verdict, answer) ->
        answer.accept(verdict.map(Responses::busy).orElseGet(Responses::busy));
  }
}
