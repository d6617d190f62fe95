package org.ternhinge.ledger;

import java.util.List;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;

/**
 * A transaction of the ledger with the writes that it consists of. Immutable: after a lost response
 * the same conditions and changes are sent again, so that at most one copy can be applied.
 */
record LedgerTransaction(
    CompareAndSwap request, List<RecordWrite> recordWrites, List<AuxiliaryWrite> auxiliaryWrites) {

  /** Number of changes, which the key-value store's rate limit counts. */
  int size() {
    return request.changes().size();
  }

  /** Whether the transaction changes the given key. */
  boolean changesKey(String key) {
    return request.changes().stream().anyMatch(change -> change.key().equals(key));
  }

  /** Returns the change of a key that the transaction {@linkplain #changesKey changes}. */
  Change changeOf(String key) {
    return request.changes().stream()
        .filter(change -> change.key().equals(key))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Returns the change to read back in order to find out whether the transaction was applied: the
   * first that sets a value, since a matching value is stronger evidence than an absent key.
   */
  Change probe() {
    return request.changes().stream()
        .filter(change -> change instanceof Change.Put)
        .findFirst()
        .orElse(request.changes().get(0));
  }
}
