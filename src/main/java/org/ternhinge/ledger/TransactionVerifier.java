package org.ternhinge.ledger;

import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.store.Change;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;

/**
 * Determines by reading back whether an earlier copy of a transaction was applied, when its
 * response was lost and a later copy conflicted.
 *
 * <p>The term is read first, since an equal value is evidence only while the term is unchanged:
 * another leader may have written the same value, such as a cancellation, without the other changes
 * of the transaction.
 */
final class TransactionVerifier {
  /** Seconds before a failed read is retried. */
  private static final double RETRY_S = 0.2;

  /** Result of the verification. */
  sealed interface Verdict {}

  /** An earlier copy was applied at this revision. */
  record WasApplied(Revision revision) implements Verdict {}

  /** No copy was or will be applied, because another leader has written in the meantime. */
  record Overtaken(LeadershipLoss.WriteOvertaken loss) implements Verdict {}

  private final KeyValueStore store;
  private final Authority authority;
  private final Clock clock;
  private final LockedExecutor locked;
  private boolean stopped;

  TransactionVerifier(
      KeyValueStore store, Authority authority, Clock clock, LockedExecutor locked) {
    this.store = store;
    this.authority = authority;
    this.clock = clock;
    this.locked = locked;
  }

  /** Stops the verification; no more verdicts are delivered. */
  void stop() {
    stopped = true;
  }

  /** Reads back with retries, and then delivers the verdict once, under the lock. */
  void verify(LedgerTransaction transaction, Consumer<Verdict> onVerdict) {
    read(Keys.TERM, transaction, onVerdict, term -> handleTerm(transaction, term, onVerdict));
  }

  private void handleTerm(
      LedgerTransaction transaction, Optional<Entry> term, Consumer<Verdict> onVerdict) {
    if (transaction.changesKey(Keys.TERM)) {
      // A reservation differs from every claimed term, which includes the claiming process.
      onVerdict.accept(compare(transaction.changeOf(Keys.TERM), term));
    } else if (term.map(Entry::revision).filter(authority.termRevision()::equals).isPresent()) {
      Change probe = transaction.probe();
      read(probe.key(), transaction, onVerdict, entry -> onVerdict.accept(compare(probe, entry)));
    } else {
      onVerdict.accept(new Overtaken(new LeadershipLoss.WriteOvertaken(true)));
    }
  }

  private static Verdict compare(Change change, Optional<Entry> entry) {
    boolean applied =
        change instanceof Change.Put put
            ? entry.isPresent() && entry.get().value().equals(put.value())
            : entry.isEmpty();
    return applied
        ? new WasApplied(entry.map(Entry::revision).orElse(Revision.NONE))
        : new Overtaken(new LeadershipLoss.WriteOvertaken(false));
  }

  /** Reads a key; a failed read restarts the verification, since the term may have changed. */
  private void read(
      String key,
      LedgerTransaction transaction,
      Consumer<Verdict> onVerdict,
      Consumer<Optional<Entry>> then) {
    locked.whenComplete(
        store.get(key, RequestPriority.ATTEMPT),
        outcome -> {
          if (stopped) {
            return;
          }
          if (outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> read) {
            then.accept(read.value().entry());
          } else {
            clock.schedule(RETRY_S, locked.guarded(() -> verify(transaction, onVerdict)));
          }
        });
  }
}
