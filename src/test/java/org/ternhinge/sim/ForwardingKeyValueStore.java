package org.ternhinge.sim;

import java.util.concurrent.CompletableFuture;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.KeyValueStore;

/**
 * Forwards every call to another key-value store; subclasses override the calls that they alter.
 */
public abstract class ForwardingKeyValueStore implements KeyValueStore {
  private final KeyValueStore delegate;

  /** Creates a store that forwards to another one. */
  protected ForwardingKeyValueStore(KeyValueStore delegate) {
    this.delegate = delegate;
  }

  @Override
  public CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority) {
    return delegate.get(key, priority);
  }

  @Override
  public CompletableFuture<Outcome<Page>> list(
      String prefix, String after, int limit, RequestPriority priority) {
    return delegate.list(prefix, after, limit, priority);
  }

  @Override
  public CompletableFuture<Outcome<Revision>> compareAndSwap(
      CompareAndSwap swap, RequestPriority priority) {
    return delegate.compareAndSwap(swap, priority);
  }

  @Override
  public CompletableFuture<Outcome<Long>> grantLease(long millis) {
    return delegate.grantLease(millis);
  }

  @Override
  public CompletableFuture<Outcome<Long>> renewLease(long lease, double timeoutS) {
    return delegate.renewLease(lease, timeoutS);
  }

  @Override
  public CompletableFuture<Outcome<Long>> revokeLease(long lease) {
    return delegate.revokeLease(lease);
  }

  @Override
  public CompletableFuture<Outcome<WatchResult>> watch(String prefix, Revision from, double waitS) {
    return delegate.watch(prefix, from, waitS);
  }

  @Override
  public int availableChanges(RequestPriority priority) {
    return delegate.availableChanges(priority);
  }

  @Override
  public double secondsUntilAvailable(int changes, RequestPriority priority) {
    return delegate.secondsUntilAvailable(changes, priority);
  }
}
