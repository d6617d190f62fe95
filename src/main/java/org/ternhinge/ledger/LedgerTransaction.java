package org.ternhinge.ledger;

import java.util.List;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;

/**
 * A transaction of the ledger, with what its changes mean to the ledger. It can't be changed any
 * more: after a lost answer the same conditions and changes are sent again, so that at most one
 * copy can ever be applied.
 */
record LedgerTransaction(
    CompareAndSwap request, List<RecordWrite> recordWrites, List<AuxiliaryWrite> auxiliaryWrites) {

  /** The number of changes, which is what the key-value store charges for. */
  int size() {
    return request.changes().size();
  }

  /** Whether the transaction changes a key. */
  boolean changes(String key) {
    return request.changes().stream().anyMatch(change -> change.key().equals(key));
  }

  /** The change of a key that the transaction {@linkplain #changes changes}. */
  Change changeOf(String key) {
    return request.changes().stream()
        .filter(change -> change.key().equals(key))
        .findFirst()
        .orElseThrow();
  }

  /**
   * The change whose key shows best whether the transaction was applied: the first that sets a
   * value, since a value proves more than an absent key.
   */
  Change probe() {
    return request.changes().stream()
        .filter(change -> change instanceof Change.Put)
        .findFirst()
        .orElse(request.changes().get(0));
  }
}
