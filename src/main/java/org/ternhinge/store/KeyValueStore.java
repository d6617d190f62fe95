package org.ternhinge.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;

/**
 * The consensus-backed key-value store, which holds all persistent state of the controllers.
 *
 * <p>Every controller may call every method, from any thread. A call returns immediately. Its
 * future never completes exceptionally; it completes on a thread of the implementation, so callers
 * must acquire their own lock. Each call takes a token of its priority; if none is left, it is not
 * sent and ends with {@link Outcome.Reason#RATE_LIMITED}. {@link Outcome.Reason#REFUSED} means that
 * the store is unavailable, and {@link Outcome.Reason#TOO_MANY_REQUESTS} that this process exceeds
 * its rate limit; in both cases nothing was executed. {@link Outcome.Unknown} means that no usable
 * response was received: a write may have been applied, or may still be applied, even minutes
 * later.
 */
public interface KeyValueStore {

  /**
   * A page of keys.
   *
   * @param entries in ascending order of their keys
   * @param more whether further keys follow
   * @param revision the revision of the whole store when the page was read
   */
  record Page(List<Entry> entries, boolean more, Revision revision) {}

  /**
   * The changes that a watch observed.
   *
   * @param revision the revision up to which all changes are included
   * @param changes in ascending order of their revisions; empty if none occurred within the wait
   */
  record WatchResult(Revision revision, List<Change.Observed> changes) {}

  /**
   * The result of reading one key.
   *
   * @param entry the key with its value, or empty if the key does not exist
   */
  record ReadResult(Optional<Entry> entry) {}

  /**
   * Reads a key. For a key that does not exist the outcome is {@link Outcome.Applied} with an empty
   * result.
   */
  CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority);

  /**
   * Reads a page of the keys with a prefix, in ascending order.
   *
   * @param after the page contains only keys greater than this one; null for the first page
   * @param limit the largest number of entries in the page
   */
  CompletableFuture<Outcome<Page>> list(
      String prefix, String after, int limit, RequestPriority priority);

  /**
   * Applies all changes of a transaction if all of its conditions hold, and otherwise none. The
   * result is the revision of the changes. The detail of {@link Outcome.Reason#CONFLICT} lists the
   * keys whose conditions do not hold; {@link Outcome.Reason#INVALID} is also the reason if a lease
   * has expired.
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
   * @param timeoutS seconds after which the response is no longer useful; further renewals may be
   *     sent before then
   */
  CompletableFuture<Outcome<Long>> renewLease(long lease, double timeoutS);

  /** Revokes a lease and thereby removes the keys that are attached to it. */
  CompletableFuture<Outcome<Long>> revokeLease(long lease);

  /**
   * Waits for changes of keys with a prefix. {@link Outcome.Reason#TOO_OLD} and {@link
   * Outcome.Reason#TOO_LARGE} mean that the changes are not available and the keys must be listed
   * again.
   *
   * @param from only changes after this revision are returned
   * @param waitS longest wait in seconds
   */
  CompletableFuture<Outcome<WatchResult>> watch(String prefix, Revision from, double waitS);

  /**
   * The number of changes that a transaction may contain now; 0 while no transaction may be sent.
   */
  int availableChanges(RequestPriority priority);

  /**
   * Seconds until enough tokens are available for a transaction with the given number of changes.
   */
  double secondsUntilAvailable(int changes, RequestPriority priority);
}
