package org.ternhinge.leadership;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.KeyValueStore;

/** A key-value store whose writes and reads of single keys can be paused. */
public final class PausableStore implements KeyValueStore {
  private final KeyValueStore store;
  private final List<Runnable> paused = new ArrayList<>();
  private boolean writesPaused;
  private boolean readsPaused;

  PausableStore(KeyValueStore store) {
    this.store = store;
  }

  /** Writes are carried out only once the store is {@linkplain #resume resumed}. */
  public void pauseWrites() {
    writesPaused = true;
  }

  /** Reads of single keys are answered only once the store is {@linkplain #resume resumed}. */
  public void pauseReads() {
    readsPaused = true;
  }

  /** Carries out what was paused, and pauses nothing from now on. */
  public void resume() {
    writesPaused = false;
    readsPaused = false;
    List<Runnable> now = List.copyOf(paused);
    paused.clear();
    now.forEach(Runnable::run);
  }

  @Override
  public CompletableFuture<Outcome<Revision>> compareAndSwap(
      CompareAndSwap compareAndSwap, RequestPriority priority) {
    if (!writesPaused) {
      return store.compareAndSwap(compareAndSwap, priority);
    }
    CompletableFuture<Outcome<Revision>> answer = new CompletableFuture<>();
    paused.add(
        () ->
            AsyncCalls.whenAnswered(
                store.compareAndSwap(compareAndSwap, priority), answer::complete));
    return answer;
  }

  @Override
  public CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority) {
    if (!readsPaused) {
      return store.get(key, priority);
    }
    CompletableFuture<Outcome<ReadResult>> answer = new CompletableFuture<>();
    paused.add(() -> AsyncCalls.whenAnswered(store.get(key, priority), answer::complete));
    return answer;
  }

  @Override
  public CompletableFuture<Outcome<Page>> list(
      String prefix, String after, int limit, RequestPriority priority) {
    return store.list(prefix, after, limit, priority);
  }

  @Override
  public CompletableFuture<Outcome<Long>> grantLease(long millis) {
    return store.grantLease(millis);
  }

  @Override
  public CompletableFuture<Outcome<Long>> renewLease(long lease, double timeoutS) {
    return store.renewLease(lease, timeoutS);
  }

  @Override
  public CompletableFuture<Outcome<Long>> revokeLease(long lease) {
    return store.revokeLease(lease);
  }

  @Override
  public CompletableFuture<Outcome<WatchResult>> watch(String prefix, Revision from, double waitS) {
    return store.watch(prefix, from, waitS);
  }

  @Override
  public int availableChanges(RequestPriority priority) {
    return store.availableChanges(priority);
  }

  @Override
  public double secondsUntilAvailable(int changes, RequestPriority priority) {
    return store.secondsUntilAvailable(changes, priority);
  }
}
