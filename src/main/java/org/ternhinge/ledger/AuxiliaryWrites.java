package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Json;

/** Pending writes and known revisions of keys other than the jobs' records. */
final class AuxiliaryWrites {
  private final Ledger ledger;
  private final Authority authority;
  private final Map<String, AuxiliaryWrite> pending = new LinkedHashMap<>();
  private final Map<String, Revision> revisions = new HashMap<>();

  AuxiliaryWrites(Ledger ledger, Authority authority) {
    this.ledger = ledger;
    this.authority = authority;
  }

  /** Sets the revision of a key that existed before this leadership. */
  void setRevision(String key, Revision revision) {
    revisions.put(key, revision);
  }

  /**
   * Requests that a key be set; merged into a pending request for the same key.
   *
   * @param onDurable runs once the value is durable in the key-value store
   */
  void request(String key, Supplier<JsonNode> value, Runnable onDurable) {
    AuxiliaryWrite write =
        pending.computeIfAbsent(key, k -> new AuxiliaryWrite(k, value, new ArrayList<>()));
    write.onDurable().add(onDurable);
  }

  /**
   * Requests the reservation of the next fencing tokens.
   *
   * @param onDurable runs once they are reserved
   */
  void requestTokens(Runnable onDurable) {
    request(Keys.TERM, () -> Json.object().put("n", nextReservation().value()), onDurable);
  }

  private Term nextReservation() {
    return authority.lastToken().plus(LedgerWriter.RESERVED_TOKENS);
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /**
   * Moves the pending writes into a transaction.
   *
   * @return false if the transaction is full and writes are still pending
   */
  boolean addTo(TransactionDraft draft) {
    Iterator<AuxiliaryWrite> writes = pending.values().iterator();
    while (writes.hasNext()) {
      if (draft.isFull()) {
        return false;
      }
      AuxiliaryWrite write = writes.next();
      JsonNode value = write.value().get();
      if (Json.bytes(value).length > ledger.valueBytes()) {
        // Stored under a larger limit: stays pending until enough of its entries are removed.
        continue;
      }
      writes.remove();
      draft.put(write.key(), value, revisionOf(write.key()));
      draft.add(write);
    }
    return true;
  }

  /**
   * Handles writes that were applied at a revision. All revisions are recorded before any callback
   * runs: a callback may write immediately, and an outdated revision would make its transaction
   * conflict, which ends the leadership.
   */
  void onApplied(List<AuxiliaryWrite> writes, Revision revision) {
    for (AuxiliaryWrite write : writes) {
      if (write.key().equals(Keys.TERM)) {
        authority.onTokensReserved(nextReservation(), revision);
      }
      revisions.put(write.key(), revision);
    }
    writes.forEach(write -> write.onDurable().forEach(Runnable::run));
  }

  private Revision revisionOf(String key) {
    return key.equals(Keys.TERM)
        ? authority.termRevision()
        : revisions.getOrDefault(key, Revision.NONE);
  }
}
