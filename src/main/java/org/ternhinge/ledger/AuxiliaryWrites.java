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
import org.ternhinge.wire.Json;

/** The keys beside the jobs' records: what waits to be written to them, and their versions. */
final class AuxiliaryWrites {
  private final Ledger ledger;
  private final Authority authority;
  private final Map<String, AuxiliaryWrite> waiting = new LinkedHashMap<>();
  private final Map<String, Revision> revisions = new HashMap<>();

  AuxiliaryWrites(Ledger ledger, Authority authority) {
    this.ledger = ledger;
    this.authority = authority;
  }

  /** Records the revision of a key that existed before this leadership. */
  void setRevision(String key, Revision revision) {
    revisions.put(key, revision);
  }

  /**
   * Asks for a key to be set; joins a request for the same key that still waits.
   *
   * @param onDurable runs once the key-value store holds the value
   */
  void request(String key, Supplier<JsonNode> value, Runnable onDurable) {
    AuxiliaryWrite write =
        waiting.computeIfAbsent(key, k -> new AuxiliaryWrite(k, value, new ArrayList<>()));
    write.onDurable().add(onDurable);
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /**
   * Moves what waits into a transaction.
   *
   * @return false when the transaction is full and something still waits
   */
  boolean addTo(TransactionDraft draft) {
    Iterator<AuxiliaryWrite> writes = waiting.values().iterator();
    while (writes.hasNext()) {
      if (draft.isFull()) {
        return false;
      }
      AuxiliaryWrite write = writes.next();
      JsonNode value = write.value().get();
      if (Json.bytes(value).length > ledger.valueBytes()) {
        // Written under a larger limit: it waits until enough of what it lists has been settled.
        continue;
      }
      writes.remove();
      draft.put(write.key(), value, revisionOf(write.key()));
      draft.add(write);
    }
    return true;
  }

  /**
   * The key-value store holds these writes at a version. All versions are noted before anything
   * follows from the writes: that may write at once, and a version that is out of date would make
   * its transaction a conflict, which ends the leadership.
   */
  void applied(List<AuxiliaryWrite> writes, Revision revision) {
    for (AuxiliaryWrite write : writes) {
      if (write.key().equals(Keys.TERM)) {
        authority.raised(authority.term().next(), revision);
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
