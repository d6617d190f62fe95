package org.ternhinge.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;

/**
 * The consensus-backed key-value store, the only place where controllers keep state.
 *
 * <p>Every controller may call every method, from any thread. A call returns at once; its future
 * completes on a thread of the implementation, never exceptionally, and callers take their own
 * lock. Each call takes a token of its priority and ends with {@link Outcome.Reason#RATE_LIMITED},
 * without being sent, where none is left. {@link Outcome.Reason#REFUSED} means that the store is
 * unavailable and {@link Outcome.Reason#TOO_MANY_REQUESTS} that it rejects this process's rate;
 * neither carried out anything. {@link Outcome.Unknown} means that no usable answer came: a write
 * may have been applied, or may still be, even minutes later.
 */
public interface KeyValueStore {

  /**
   * A page of keys.
   *
   * @param entries in ascending order of their keys
   * @param more whether further keys follow
   * @param revision the revision of the whole store when it was read
   */
  record Page(List<Entry> entries, boolean more, Revision revision) {}

  /**
   * The changes that a watch observed.
   *
   * @param revision the revision up to which all changes are included
   * @param changes in ascending order of their revisions; empty where the time ran out
   */
  record WatchResult(Revision revision, List<Change.Observed> changes) {}

  /**
   * The result of reading one key.
   *
   * @param entry the key with its value, or empty where it does not exist
   */
  record ReadResult(Optional<Entry> entry) {}

  /** Reads a key. A key that does not exist is an {@link Outcome.Applied} empty result. */
  CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority);

  /**
   * Reads a page of the keys with a prefix, in ascending order.
   *
   * @param after the key that the page begins after, or null for the first page
   * @param limit most entries of the page
   */
  CompletableFuture<Outcome<Page>> list(
      String prefix, String after, int limit, RequestPriority priority);

  /**
   * Applies all changes of a transaction, or none, if its conditions hold. The result is the
   * revision of the changes. {@link Outcome.Reason#CONFLICT} names the keys whose conditions do not
   * hold; {@link Outcome.Reason#INVALID} also stands for a lease that has expired.
   */
  CompletableFuture<Outcome<Revision>> compareAndSwap(
      CompareAndSwap compareAndSwap, RequestPriority priority);

  /**
   * Grants a lease; the result is its id.
   *
   * @param millis time to live in milliseconds
   */
  CompletableFuture<Outcome<Long>> grantLease(long millis);

  /**
   * Renews a lease to its full time to live. {@link Outcome.Reason#NOT_FOUND} means that it has
   * expired.
   *
   * @param timeoutS seconds for which the answer is of use; further renewals may be sent meanwhile
   */
  CompletableFuture<Outcome<Long>> renewLease(long lease, double timeoutS);

  /** Revokes a lease and thereby removes the keys that are attached to it. */
  CompletableFuture<Outcome<Long>> revokeLease(long lease);

  /**
   * Waits for changes of the keys with a prefix. {@link Outcome.Reason#TOO_OLD} and {@link
   * Outcome.Reason#TOO_LARGE} mean that the changes are not available and the keys have to be
   * listed again.
   *
   * @param from only changes after this revision are observed
   * @param waitS longest wait in seconds
   */
  CompletableFuture<Outcome<WatchResult>> watch(String prefix, Revision from, double waitS);

  /** How many changes a transaction may carry now; 0 while none may be sent. */
  int availableChanges(RequestPriority priority);

  /** Seconds until a transaction with a number of changes will find tokens. */
  double secondsUntilAvailable(int changes, RequestPriority priority);
}
