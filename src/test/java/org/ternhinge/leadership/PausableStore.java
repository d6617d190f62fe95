package org.ternhinge.leadership;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.ForwardingKeyValueStore;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.KeyValueStore;

/** A key-value store in which writes and single-key reads can be paused. */
public final class PausableStore extends ForwardingKeyValueStore {
  private final List<Runnable> deferred = new ArrayList<>();
  private boolean writesPaused;
  private boolean readsPaused;

  PausableStore(KeyValueStore store) {
    super(store);
  }

  /** Defers writes until the store is {@linkplain #resume resumed}. */
  public void pauseWrites() {
    writesPaused = true;
  }

  /** Defers single-key reads until the store is {@linkplain #resume resumed}. */
  public void pauseReads() {
    readsPaused = true;
  }

  /** Executes the deferred operations and stops deferring further ones. */
  public void resume() {
    writesPaused = false;
    readsPaused = false;
    List<Runnable> operations = List.copyOf(deferred);
    deferred.clear();
    operations.forEach(Runnable::run);
  }

  @Override
  public CompletableFuture<Outcome<Revision>> compareAndSwap(
      CompareAndSwap compareAndSwap, RequestPriority priority) {
    if (!writesPaused) {
      return super.compareAndSwap(compareAndSwap, priority);
    }
    CompletableFuture<Outcome<Revision>> outcome = new CompletableFuture<>();
    deferred.add(
        () ->
            AsyncCalls.whenComplete(
                super.compareAndSwap(compareAndSwap, priority), outcome::complete));
    return outcome;
  }

  @Override
  public CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority) {
    if (!readsPaused) {
      return super.get(key, priority);
    }
    CompletableFuture<Outcome<ReadResult>> outcome = new CompletableFuture<>();
    deferred.add(() -> AsyncCalls.whenComplete(super.get(key, priority), outcome::complete));
    return outcome;
  }
}
