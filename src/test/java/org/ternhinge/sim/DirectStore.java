package org.ternhinge.sim;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.store.ResponseTimeouts.Kind;

/** A client that executes each call immediately, without a network or rate limits. */
public class DirectStore extends InMemoryStoreClient {
  /** Creates a client that answers immediately. */
  public DirectStore(InMemoryStore store) {
    super(store);
  }

  @Override
  final <T> CompletableFuture<Outcome<T>> call(Kind kind, Supplier<Outcome<T>> work) {
    return CompletableFuture.completedFuture(work.get());
  }

  @Override
  final <T> CompletableFuture<Outcome<T>> call(double limitS, Supplier<Outcome<T>> work) {
    return CompletableFuture.completedFuture(work.get());
  }

  @Override
  public CompletableFuture<Outcome<WatchResult>> watch(String prefix, Revision from, double waitS) {
    CompletableFuture<Outcome<WatchResult>> result = new CompletableFuture<>();
    store()
        .watch(prefix, from.value(), waitS, changes -> result.complete(Outcome.applied(changes)));
    return result;
  }
}
