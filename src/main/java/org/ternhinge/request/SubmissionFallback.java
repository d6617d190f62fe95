package org.ternhinge.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.wire.DependencyCheckResult;

/** Destination of a submission that this node can't write itself. */
interface SubmissionFallback {
  /**
   * Forwards the submission.
   *
   * @param verdict the result of the dependency check, if it was made
   * @param responseCallback receives the final response, or a busy one if no node accepts the
   *     submission
   */
  void forward(Optional<DependencyCheckResult> verdict, Consumer<Response> responseCallback);

  /**
   * The fallback of a submission that has already been forwarded to the other nodes; responds busy.
   */
  static SubmissionFallback none() {
    return (verdict, responseCallback) -> responseCallback.accept(Responses.busy());
  }

  /**
   * The fallback of a submission that another node has forwarded. It returns the result of the
   * dependency check with a busy response; the forwarding node then tries the next node itself and
   * need not repeat the check.
   */
  static SubmissionFallback returnToPeer() {
    return (verdict, responseCallback) ->
        responseCallback.accept(verdict.map(Responses::busy).orElseGet(Responses::busy));
  }
}
