package org.ternhinge.request;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.ternhinge.http.Response;

/**
 * A request that was sent to the leader, with a fallback that starts when the leader can't answer
 * or takes long. Whichever gives the first final response is passed on. A busy response is passed
 * on only when both have ended, since a slow leader may still answer in time for the user.
 *
 * <p>State is guarded by the controller's lock.
 */
final class LeaderCall {
  private final Executor lockedExecutor;
  private final Consumer<Consumer<Response>> fallback;
  private final Consumer<Response> responseCallback;
  private boolean leaderEnded;
  private boolean fallbackStarted;
  private boolean completed;

  /** The busy response of the fallback; null until it has ended with one. */
  private Response busyFallback;

  /**
   * Creates a call whose request is still to be sent.
   *
   * @param lockedExecutor runs actions under the controller's lock
   * @param fallback sends the request elsewhere; its callback may be called on any thread
   * @param responseCallback receives one response, under the lock
   */
  LeaderCall(
      Executor lockedExecutor,
      Consumer<Consumer<Response>> fallback,
      Consumer<Response> responseCallback) {
    this.lockedExecutor = lockedExecutor;
    this.fallback = fallback;
    this.responseCallback = responseCallback;
  }

  /** Handles the leader's response; empty if none arrived. */
  void handleLeaderResponse(Optional<Response> response) {
    leaderEnded = true;
    if (response.isPresent() && !Responses.isBusy(response.get())) {
      complete(response.get());
    } else if (busyFallback != null) {
      complete(busyFallback);
    } else {
      startFallback();
    }
  }

  /** Whether neither the leader nor the fallback has given a final response. */
  boolean isPending() {
    return !completed;
  }

  /** Starts the fallback unless it was started before or is no longer needed. */
  void startFallback() {
    if (!fallbackStarted && !completed) {
      fallbackStarted = true;
      fallback.accept(response -> lockedExecutor.execute(() -> handleFallbackResponse(response)));
    }
  }

  private void handleFallbackResponse(Response response) {
    if (!Responses.isBusy(response) || leaderEnded) {
      complete(response);
    } else {
      busyFallback = response;
    }
  }

  private void complete(Response response) {
    if (!completed) {
      completed = true;
      responseCallback.accept(response);
    }
  }
}
