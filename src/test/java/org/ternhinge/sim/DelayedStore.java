package org.ternhinge.sim;

import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.store.ResponseTimeouts;
import org.ternhinge.store.ResponseTimeouts.Kind;

/** A client that delays each request to the key-value store and each response independently. */
public final class DelayedStore extends InMemoryStoreClient {
  /** Margin after the end of a watch before it times out, in seconds. */
  private static final double WATCH_SLACK_S = 5;

  private final SimClock clock;
  private final ResponseTimeouts timeouts;
  private final DoubleSupplier delayS;
  private boolean refuses;

  /** Number of calls sent, excluding watches. */
  private int calls;

  /**
   * Creates a client with delayed messages.
   *
   * @param delayS supplies the delay of the next message in seconds; called once per message
   */
  public DelayedStore(
      SimClock clock, InMemoryStore store, ResponseTimeouts timeouts, DoubleSupplier delayS) {
    super(store);
    this.clock = clock;
    this.timeouts = timeouts;
    this.delayS = delayS;
  }

  /** Sets whether the store rejects calls of this client with status 503 from now on. */
  public void refuse(boolean refused) {
    refuses = refused;
  }

  /** Number of calls sent, excluding watches. */
  public int calls() {
    return calls;
  }

  @Override
  <T> CompletableFuture<Outcome<T>> call(Kind kind, Supplier<Outcome<T>> work) {
    return timeouts.measure(kind, limitS -> send(limitS, work));
  }

  @Override
  <T> CompletableFuture<Outcome<T>> call(double limitS, Supplier<Outcome<T>> work) {
    return timeouts.observe(send(limitS, work));
  }

  private <T> CompletableFuture<Outcome<T>> send(double limitS, Supplier<Outcome<T>> work) {
    calls++;
    CompletableFuture<Outcome<T>> result = new CompletableFuture<>();
    clock.schedule(limitS, () -> result.complete(Outcome.unknown("no answer in time")));
    afterDelay(
        () -> {
          Outcome<T> outcome = refuses ? Outcome.notApplied(Reason.REFUSED, "503") : work.get();
          afterDelay(() -> result.complete(outcome));
        });
    return result;
  }

  private void afterDelay(Runnable action) {
    clock.schedule(delayS.getAsDouble(), action);
  }

  @Override
  public CompletableFuture<Outcome<WatchResult>> watch(String prefix, Revision from, double waitS) {
    CompletableFuture<Outcome<WatchResult>> result = new CompletableFuture<>();
    clock.schedule(waitS + WATCH_SLACK_S, () -> result.complete(Outcome.unknown("no answer")));
    afterDelay(
        () ->
            store()
                .watch(
                    prefix,
                    from.value(),
                    waitS,
                    () -> refuses,
                    changes -> afterDelay(() -> result.complete(Outcome.applied(changes)))));
    return result;
  }
}
