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
import org.ternhinge.wire.Json;

/**
 * Writes the ledger's changes to the key-value store, many records to a transaction.
 *
 * <p>It guarantees:
 *
 * <ul>
 *   <li>One transaction at a time is under way, so that every one is built on known versions.
 *   <li>Each is conditional on the term and on the version of every key that it changes: a leader
 *       that was replaced can write nothing, and a copy that is applied late can't undo what came
 *       after it.
 *   <li>One whose answer was lost is sent again unchanged until its fate is known. A conflict after
 *       a lost answer is settled by reading back, the term first (see {@link TransactionVerifier});
 *       any other conflict ends the leadership.
 * </ul>
 *
 * <p>What is written when is chosen by {@link TransactionAssembler}; what follows from a durable
 * transaction is done by {@link TransactionSettlement}. All methods are called under the lock.
 */
public final class LedgerWriter {
  private static final Logger LOG = LoggerFactory.getLogger(LedgerWriter.class);

  /** Seconds until a transaction is sent again that was refused or had no answer. */
  private static final double RETRY_S = 0.2;

  /**
   * Seconds until it is checked again whether something may be written that waits for tokens or for
   * its time. Whatever is more urgent may still come before it.
   */
  private static final double POLL_S = 0.05;

  /** Seconds on top of the wait for tokens, so that rounding doesn't wake it up too early. */
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
  private final TransactionSettlement settlement;

  /** The transaction that is under way or waits to be sent again, or null. */
  private LedgerTransaction pending;

  /** Whether a copy of the pending transaction was sent whose answer was lost. */
  private boolean mayBeApplied;

  /** Whether an answer or a timer is awaited that will go on with the pending transaction. */
  private boolean busy;

  private boolean pollScheduled;
  private boolean stopped;

  /**
   * Creates a writer with nothing to write.
   *
   * @param lock guards the ledger; taken whenever an answer comes
   * @param maxChanges the most changes that the key-value store accepts in a transaction
   * @param onDurable receives the attempts that may be started now; called under the lock after
   *     every write, also with an empty list
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
    this.settlement = new TransactionSettlement(ledger, auxiliaryWrites, onDurable);
  }

  /** Ends all writing; answers that still come are ignored. */
  public void stop() {
    stopped = true;
    verifier.stop();
  }

  /** Records the revision of a key that existed before this leadership. */
  public void setRevision(String key, Revision revision) {
    auxiliaryWrites.setRevision(key, revision);
  }

  /**
   * Sets a key beside the jobs' records. Several calls for a key before it is written make one
   * change.
   *
   * @param value supplies the value when the key is written
   */
  public void write(String key, Supplier<JsonNode> value) {
    write(key, value, () -> {});
  }

  /**
   * Sets a key as {@link #write(String, Supplier)} does.
   *
   * @param onDurable runs once the key-value store holds the value
   */
  public void write(String key, Supplier<JsonNode> value, Runnable onDurable) {
    auxiliaryWrites.request(key, value, onDurable);
    pump();
  }

  /**
   * Raises the term, so that workers which have seen the new one refuse whatever was sent under the
   * old one, however late it arrives.
   */
  public void raiseTerm(Runnable onDurable) {
    write(Keys.TERM, () -> Json.object().put("n", authority.term().next().value()), onDurable);
  }

  /** Whether no change is waiting or under way. */
  public boolean idle() {
    return pending == null && auxiliaryWrites.isEmpty() && !ledger.hasDirty();
  }

  /** Sends the next transaction if there is one and none is under way; called on every change. */
  public void pump() {
    if (busy || stopped) {
      return;
    }
    if (pending == null) {
      pending = nextTransaction();
      mayBeApplied = false;
    }
    if (pending != null) {
      sendWhenAllowed();
    } else if (!idle()) {
      schedulePoll();
    }
  }

  /** A transaction for the tokens at hand, or null. */
  private LedgerTransaction nextTransaction() {
    int limit = Math.min(maxChanges, store.availableChanges(RequestPriority.ATTEMPT));
    return limit > 0 ? assembler.next(limit).orElse(null) : null;
  }

  private void sendWhenAllowed() {
    if (!authority.valid()) {
      retryAfter(RETRY_S);
      return;
    }
    double wait = store.secondsUntilAvailable(pending.size(), RequestPriority.ATTEMPT);
    if (wait > 0) {
      // Only what is sent again has to wait: a new transaction is built for the tokens at hand.
      retryAfter(wait + TOKEN_MARGIN_S);
      return;
    }
    busy = true;
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
    pump();
  }

  private void retryAfter(double seconds) {
    busy = true;
    clock.schedule(seconds, locked.guarded(this::retry));
  }

  private void retry() {
    busy = false;
    pump();
  }

  private void handleAnswer(Outcome<Revision> outcome) {
    busy = false;
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
    settlement.applied(done, revision);
    pump();
  }

  private void handleRefusal(Outcome.NotApplied<Revision> refusal) {
    if (refusal.reason() == Reason.CONFLICT && mayBeApplied) {
      busy = true;
      verifier.verify(pending, this::handleVerdict);
    } else if (refusal.reason() == Reason.CONFLICT) {
      authority.lost(new LeadershipLoss.WriteConflict(refusal.detail()));
    } else if (refusal.reason() == Reason.INVALID) {
      LOG.error("key-value store rejected a transaction as invalid: {}", refusal.detail());
      authority.lost(new LeadershipLoss.InvalidTransaction());
    } else {
      retryAfter(RETRY_S);
    }
  }

  private void handleUnknownOutcome() {
    mayBeApplied = true;
    retryAfter(RETRY_S);
  }

  private void handleVerdict(TransactionVerifier.Verdict verdict) {
    busy = false;
    if (verdict instanceof TransactionVerifier.WasApplied applied) {
      complete(applied.revision());
    } else if (verdict instanceof TransactionVerifier.Overtaken overtaken) {
      authority.lost(overtaken.loss());
    }
  }
}
