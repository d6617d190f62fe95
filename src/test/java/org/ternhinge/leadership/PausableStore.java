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

/** A key-value store whose writes and reads of single keys can be paused. */
public final class PausableStore extends ForwardingKeyValueStore {
  private final List<Runnable> paused = new ArrayList<>();
  private boolean writesPaused;
  private boolean readsPaused;

  PausableStore(KeyValueStore store) {
    super(store);
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
      return super.compareAndSwap(compareAndSwap, priority);
    }
    CompletableFuture<Outcome<Revision>> answer = new CompletableFuture<>();
    paused.add(
        () ->
            AsyncCalls.whenComplete(
                super.compareAndSwap(compareAndSwap, priority), answer::complete));
    return answer;
  }

  @Override
  public CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority) {
    if (!readsPaused) {
      return super.get(key, priority);
    }
    CompletableFuture<Outcome<ReadResult>> answer = new CompletableFuture<>();
    paused.add(() -> AsyncCalls.whenComplete(super.get(key, priority), answer::complete));
    return answer;
  }
}
