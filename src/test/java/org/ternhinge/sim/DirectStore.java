package org.ternhinge.sim;

import java.util.concurrent.CompletableFuture;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.KeyValueStore;

/** The key-value store at hand, without a network and without limits on rates. */
public class DirectStore implements KeyValueStore {
  private final StoreCore core;

  /** Creates a client that answers at once. */
  public DirectStore(StoreCore core) {
    this.core = core;
  }

  private static <T> CompletableFuture<T> now(T value) {
    return CompletableFuture.completedFuture(value);
  }

  @Override
  public CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority) {
    return now(Outcome.applied(core.get(key)));
  }

  @Override
  public CompletableFuture<Outcome<Page>> list(
      String prefix, String after, int limit, RequestPriority priority) {
    return now(Outcome.applied(core.list(prefix, after, limit)));
  }

  @Override
  public CompletableFuture<Outcome<Revision>> compareAndSwap(
      CompareAndSwap compareAndSwap, RequestPriority priority) {
    return now(core.compareAndSwap(compareAndSwap));
  }

  @Override
  public CompletableFuture<Outcome<Long>> grantLease(long millis) {
    return now(Outcome.applied(core.grant(millis)));
  }

  @Override
  public CompletableFuture<Outcome<Long>> renewLease(long lease, double timeoutS) {
    return now(core.renew(lease));
  }

  @Override
  public CompletableFuture<Outcome<Long>> revokeLease(long lease) {
    core.revoke(lease);
    return now(Outcome.applied(lease));
  }

  @Override
  public CompletableFuture<Outcome<WatchResult>> watch(String prefix, Revision from, double waitS) {
    CompletableFuture<Outcome<WatchResult>> out = new CompletableFuture<>();
    core.watch(prefix, from.value(), waitS, c -> out.complete(Outcome.applied(c)));
    return out;
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
