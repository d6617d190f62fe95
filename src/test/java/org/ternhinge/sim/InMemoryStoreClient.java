package org.ternhinge.sim;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.store.ResponseTimeouts.Kind;

/**
 * A client of an {@link InMemoryStore} without rate limits. Subclasses define how a call reaches
 * the store and how its outcome is returned.
 */
abstract class InMemoryStoreClient implements KeyValueStore {
  private final InMemoryStore store;

  InMemoryStoreClient(InMemoryStore store) {
    this.store = store;
  }

  /** The store behind this client. */
  final InMemoryStore store() {
    return store;
  }

  /** Executes a call; the timeout of its kind adapts to earlier response times. */
  abstract <T> CompletableFuture<Outcome<T>> call(Kind kind, Supplier<Outcome<T>> work);

  /** Executes a call with an explicit timeout in seconds. */
  abstract <T> CompletableFuture<Outcome<T>> call(double limitS, Supplier<Outcome<T>> work);

  @Override
  public CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority) {
    return call(Kind.ofRead(priority), () -> Outcome.applied(store.get(key)));
  }

  @Override
  public CompletableFuture<Outcome<Page>> list(
      String prefix, String after, int limit, RequestPriority priority) {
    return call(Kind.READ, () -> Outcome.applied(store.list(prefix, after, limit)));
  }

  @Override
  public CompletableFuture<Outcome<Revision>> compareAndSwap(
      CompareAndSwap swap, RequestPriority priority) {
    return call(Kind.ofWrite(priority), () -> store.compareAndSwap(swap));
  }

  @Override
  public CompletableFuture<Outcome<Long>> grantLease(long millis) {
    return call(Kind.LEASE, () -> Outcome.applied(store.grantLease(millis)));
  }

  @Override
  public CompletableFuture<Outcome<Long>> renewLease(long lease, double timeoutS) {
    return call(timeoutS, () -> store.renewLease(lease));
  }

  @Override
  public CompletableFuture<Outcome<Long>> revokeLease(long lease) {
    return call(
        Kind.LEASE,
        () -> {
          store.revokeLease(lease);
          return Outcome.applied(lease);
        });
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
