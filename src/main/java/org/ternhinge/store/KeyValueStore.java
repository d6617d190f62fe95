package org.ternhinge.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;

/** The key-value store as the rest of the program sees it. */
public interface KeyValueStore {

  /** A page of keys; the revision is that of the whole store as it was read. */
  record Page(List<Entry> entries, boolean more, Revision revision) {}

  /** What a watch has seen. */
  record Changes(Revision revision, List<Change.Seen> changes) {}

  /** A key as it was read, and the revision of the store then. */
  record Read(Optional<Entry> entry) {}

  /** Reads a key. */
  CompletableFuture<Outcome<Read>> get(String key, RequestPriority priority);

  /** Reads a page of the keys with a prefix, in their order, after the given one. */
  CompletableFuture<Outcome<Page>> list(
      String prefix, String after, int limit, RequestPriority priority);

  /** Applies all changes of a transaction, or none, if its conditions hold. */
  CompletableFuture<Outcome<Revision>> compareAndSwap(
      CompareAndSwap compareAndSwap, RequestPriority priority);

  /** Asks for a lease that lasts so many milliseconds. */
  CompletableFuture<Outcome<Long>> grant(long millis);

  /**
   * Gives a lease its full time again.
   *
   * @param timeoutS how long the answer is of use. Further renewals may be sent meanwhile
   */
  CompletableFuture<Outcome<Long>> renew(long lease, double timeoutS);

  /** Ends a lease and removes the keys that hang on it. */
  CompletableFuture<Outcome<Long>> revoke(long lease);

  /** Waits for changes of the keys with a prefix after a revision. */
  CompletableFuture<Outcome<Changes>> watch(String prefix, Revision from, double waitS);

  /** How many changes a transaction may carry now; 0 while none may be sent. */
  int changesNow(RequestPriority priority);

  /** Seconds until a transaction of so many changes would find tokens. */
  double secondsUntilSwapAllowed(int changes, RequestPriority priority);
}
