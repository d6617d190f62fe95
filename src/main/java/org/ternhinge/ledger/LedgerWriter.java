package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.store.KeyValueStore;

/**
 * Writes the ledger's changes to the key-value store, batching many records in a transaction.
 *
 * <p>Guarantees:
 *
 * <ul>
 *   <li>At most one transaction is in progress, so that each is built on known revisions.
 *   <li>Each is conditional on the term and on the revision of every key that it changes: a
 *       replaced leader cannot write, and a delayed copy cannot undo later changes.
 *   <li>After a lost response a transaction is sent again unchanged until its outcome is known. A
 *       conflict after a lost response is resolved by reading back, the term first (see {@link
 *       TransactionVerifier}); any other conflict ends the leadership.
 * </ul>
 *
 * <p>{@link TransactionAssembler} selects what to write and when; {@link TransactionCompletion}
 * updates the ledger after a transaction was applied. All methods are called under the lock.
 */
public final class LedgerWriter {
  /** Number of fencing tokens that are reserved at a time. */
  public static final long RESERVED_TOKENS = 1L << 20;

  private static final Logger LOG = LoggerFactory.getLogger(LedgerWriter.class);

  /** Seconds before a transaction is sent again that was rejected or received no response. */
  private static final double RETRY_S = 0.2;

  /**
   * Interval in seconds at which writes are checked that wait for tokens or for the end of their
   * batching period. No transaction is built in advance, so that more urgent writes may go first.
   */
  private static final double POLL_S = 0.05;

  /** Seconds added to the wait for tokens, so that rounding does not end it too early. */
  private static final double TOKEN_MARGIN_S = 0.005;

  private final Ledger ledger;
  private final KeyValueStore store;
  private final Authority authority;
  private final Clock clock;
  private final LockedExecutor locked;
  private final int maxChanges;
  private final AuxiliaryWrites auxiliaryWrites;
  private final TransactionAssembler assembler;
  private final TransactionVerifier verifier;
  private final TransactionCompletion completion;

  /** The transaction that is in progress or waiting to be sent again, or null. */
  private LedgerTransaction pending;

  /** Whether the response to a copy of the pending transaction was lost. */
  private boolean mayBeApplied;

  /** Whether a response or timer is awaited that will resume the pending transaction. */
  private boolean awaitingCallback;

  private boolean pollScheduled;
  private boolean stopped;

  /**
   * Creates a writer without pending writes.
   *
   * @param lock guards the ledger; held while responses are handled
   * @param maxChanges maximum number of changes in a transaction of the key-value store
   * @param onDurable receives the attempts that may be started now; called under the lock after
   *     every write, even if there are none
   */
  public LedgerWriter(
      Ledger ledger,
      KeyValueStore store,
      Authority authority,
      Clock clock,
      Lock lock,
      int maxChanges,
      Consumer<List<Attempt>> onDurable) {
    this.ledger = ledger;
    this.store = store;
    this.authority = authority;
    this.clock = clock;
    this.locked = new LockedExecutor(lock);
    this.maxChanges = maxChanges;
    this.auxiliaryWrites = new AuxiliaryWrites(ledger, authority);
    this.assembler =
        new TransactionAssembler(
            ledger, authority, clock, auxiliaryWrites, new RecordRepartitioner(ledger, maxChanges));
    this.verifier = new TransactionVerifier(store, authority, clock, locked);
    this.completion = new TransactionCompletion(ledger, auxiliaryWrites, onDurable);
  }

  /** Stops writing; later responses are ignored. */
  public void stop() {
    stopped = true;
    verifier.stop();
  }

  /** Sets the revision of a key that existed before this leadership. */
  public void setRevision(String key, Revision revision) {
    auxiliaryWrites.setRevision(key, revision);
  }

  /**
   * Sets a key other than a job's record. Several calls for a key before it is written result in
   * one change.
   *
   * @param value supplies the value when the transaction is built
   */
  public void write(String key, Supplier<JsonNode> value) {
    write(key, value, () -> {});
  }

  /**
   * Sets a key as {@link #write(String, Supplier)} does.
   *
   * @param onDurable runs once the value is durable in the key-value store
   */
  public void write(String key, Supplier<JsonNode> value, Runnable onDurable) {
    auxiliaryWrites.request(key, value, onDurable);
    sendNext();
  }

  /**
   * Reserves the next {@link #RESERVED_TOKENS} fencing tokens for this leadership by raising the
   * number in the term's key; the next leadership claims a higher one.
   *
   * @param onDurable runs once the tokens may be used
   */
  public void reserveTokens(Runnable onDurable) {
    auxiliaryWrites.requestTokens(onDurable);
    sendNext();
  }

  /** Whether no write is pending or in progress. */
  public boolean isIdle() {
    return pending == null && auxiliaryWrites.isEmpty() && !ledger.hasPendingWrites();
  }

  /** Sends the next transaction if there is one and none is in progress; called on every change. */
  public void sendNext() {
    if (awaitingCallback || stopped) {
      return;
    }
    if (pending == null) {
      pending = nextTransaction();
      mayBeApplied = false;
    }
    if (pending != null) {
      sendWhenAllowed();
    } else if (!isIdle()) {
      schedulePoll();
    }
  }

  /** Builds a transaction that the available tokens permit, or returns null. */
  private LedgerTransaction nextTransaction() {
    int limit = Math.min(maxChanges, store.availableChanges(RequestPriority.ATTEMPT));
    return limit > 0 ? assembler.next(limit).orElse(null) : null;
  }

  private void sendWhenAllowed() {
    if (!authority.isValid()) {
      retryAfter(RETRY_S);
      return;
    }
    double wait = store.secondsUntilAvailable(pending.size(), RequestPriority.ATTEMPT);
    if (wait > 0) {
      // Only a transaction that is sent again can wait here: new ones fit the available tokens.
      retryAfter(wait + TOKEN_MARGIN_S);
      return;
    }
    awaitingCallback = true;
    locked.whenComplete(
        store.compareAndSwap(pending.request(), RequestPriority.ATTEMPT), this::handleAnswer);
  }

  private void schedulePoll() {
    if (!pollScheduled) {
      pollScheduled = true;
      clock.schedule(POLL_S, locked.guarded(this::poll));
    }
  }

  private void poll() {
    pollScheduled = false;
    sendNext();
  }

  private void retryAfter(double seconds) {
    awaitingCallback = true;
    clock.schedule(seconds, locked.guarded(this::retry));
  }

  private void retry() {
    awaitingCallback = false;
    sendNext();
  }

  private void handleAnswer(Outcome<Revision> outcome) {
    awaitingCallback = false;
    if (stopped) {
      return;
    }
    if (outcome instanceof Outcome.Applied<Revision> applied) {
      complete(applied.value());
    } else if (outcome instanceof Outcome.NotApplied<Revision> notApplied) {
      handleRefusal(notApplied);
    } else {
      handleUnknownOutcome();
    }
  }

  private void complete(Revision revision) {
    LedgerTransaction done = pending;
    pending = null;
    completion.onApplied(done, revision);
    sendNext();
  }

  private void handleRefusal(Outcome.NotApplied<Revision> refusal) {
    if (refusal.reason() == Reason.CONFLICT && mayBeApplied) {
      awaitingCallback = true;
      verifier.verify(pending, this::handleVerdict);
    } else if (refusal.reason() == Reason.CONFLICT) {
      authority.onLost(new LeadershipLoss.WriteConflict(refusal.detail()));
    } else if (refusal.reason() == Reason.INVALID) {
      LOG.error("key-value store rejected a transaction as invalid: {}", refusal.detail());
      authority.onLost(new LeadershipLoss.InvalidTransaction());
    } else {
      retryAfter(RETRY_S);
    }
  }

  private void handleUnknownOutcome() {
    mayBeApplied = true;
    retryAfter(RETRY_S);
  }

  private void handleVerdict(TransactionVerifier.Verdict verdict) {
    awaitingCallback = false;
    if (verdict instanceof TransactionVerifier.WasApplied applied) {
      complete(applied.revision());
    } else if (verdict instanceof TransactionVerifier.Overtaken overtaken) {
      authority.onLost(overtaken.loss());
    }
  }
}
