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
 * Finds out by reading back whether an earlier copy of a transaction was applied, where its answer
 * was lost and a later copy met a conflict.
 *
 * <p>The term is read first, and only under this leadership's own term an equal value proves
 * anything: another leader may have written the same value, a cancellation say, without whatever
 * else the transaction was to make durable.
 */
final class TransactionVerifier {
  /** Seconds until a read that failed is tried again. */
  private static final double RETRY_S = 0.2;

  /** What the key-value store shows of a transaction. */
  sealed interface Verdict {}

  /** An earlier copy was applied at this version. */
  record WasApplied(Revision revision) implements Verdict {}

  /** No copy was or will be applied: another leader has written meanwhile. */
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

  /** Gives no verdict from now on. */
  void stop() {
    stopped = true;
  }

  /** Reads until the key-value store has answered, then gives the verdict once, under the lock. */
  void verify(LedgerTransaction transaction, Consumer<Verdict> onVerdict) {
    read(Keys.TERM, transaction, onVerdict, term -> termRead(transaction, term, onVerdict));
  }

  private void termRead(
      LedgerTransaction transaction, Optional<Entry> term, Consumer<Verdict> onVerdict) {
    if (transaction.changes(Keys.TERM)) {
      // A raised term differs from every claimed one, which names its node's process.
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

  /** Reads a key; a read that fails starts the verification again, since the term may change. */
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
