package org.ternhinge.sim;

import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.store.ResponseTimeouts;
import org.ternhinge.store.ResponseTimeouts.Kind;

/** One node's way to the key-value store, with a delay in each direction. */
public final class DelayedStore implements KeyValueStore {
  private static final double WATCH_SLACK_S = 5;

  private final SimClock clock;
  private final StoreCore core;
  private final ResponseTimeouts timeouts;
  private final DoubleSupplier delayS;
  private boolean refuses;

  /** Calls that were sent, watches aside. */
  private int calls;

  /**
   * Creates a client whose calls take time.
   *
   * @param delayS of the next message, in seconds
   */
  public DelayedStore(
      SimClock clock, StoreCore core, ResponseTimeouts timeouts, DoubleSupplier delayS) {
    this.clock = clock;
    this.core = core;
    this.timeouts = timeouts;
    this.delayS = delayS;
  }

  /** Whether the service answers this node 503 from now on. */
  public void refuse(boolean refused) {
    refuses = refused;
  }

  /** How many calls were sent. */
  public int calls() {
    return calls;
  }

  private <T> CompletableFuture<Outcome<T>> send(double limitS, Supplier<Outcome<T>> work) {
    calls++;
    CompletableFuture<Outcome<T>> result = new CompletableFuture<>();
    clock.after(limitS, () -> result.complete(Outcome.unknown("no answer in time")));
    clock.after(
        delayS.getAsDouble(),
        () -> {
          Outcome<T> outcome = refuses ? Outcome.notApplied(Reason.REFUSED, "503") : work.get();
          clock.after(delayS.getAsDouble(), () -> result.complete(outcome));
        });
    return result;
  }

  private <T> CompletableFuture<Outcome<T>> measured(Kind kind, Supplier<Outcome<T>> work) {
    return timeouts.measure(kind, limitS -> send(limitS, work));
  }

  @Override
  public CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority) {
    return measured(Kind.ofRead(priority), () -> Outcome.applied(core.get(key)));
  }

  @Override
  public CompletableFuture<Outcome<Page>> list(
      String prefix, String after, int limit, RequestPriority priority) {
    return measured(Kind.READ, () -> Outcome.applied(core.list(prefix, after, limit)));
  }

  @Override
  public CompletableFuture<Outcome<Revision>> compareAndSwap(
      CompareAndSwap compareAndSwap, RequestPriority priority) {
    return measured(Kind.ofWrite(priority), () -> core.compareAndSwap(compareAndSwap));
  }

  @Override
  public CompletableFuture<Outcome<Long>> grantLease(long millis) {
    return measured(Kind.LEASE, () -> Outcome.applied(core.grant(millis)));
  }

  @Override
  public CompletableFuture<Outcome<Long>> renewLease(long lease, double limitS) {
    return timeouts.observe(send(limitS, () -> core.renew(lease)));
  }

  @Override
  public CompletableFuture<Outcome<Long>> revokeLease(long lease) {
    return measured(
        Kind.LEASE,
        () -> {
          core.revoke(lease);
          return Outcome.applied(lease);
        });
  }

  @Override
  public CompletableFuture<Outcome<WatchResult>> watch(String prefix, Revision from, double waitS) {
    CompletableFuture<Outcome<WatchResult>> result = new CompletableFuture<>();
    clock.after(waitS + WATCH_SLACK_S, () -> result.complete(Outcome.unknown("no answer")));
    clock.after(
        delayS.getAsDouble(),
        () ->
            core.watch(
                prefix,
                from.value(),
                waitS,
                () -> refuses,
                changes ->
                    clock.after(
                        delayS.getAsDouble(), () -> result.complete(Outcome.applied(changes)))));
    return result;
  }

  @Override
  public int availableChanges(RequestPriority priority) {
    return Integer.MAX_VALUE;
  }

  @Override
  public double secondsUntilAvailable(int changes, RequestPriority priority) {
    return 0;
  }
}
