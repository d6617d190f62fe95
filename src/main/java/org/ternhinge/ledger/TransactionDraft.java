package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ternhinge.model.Revision;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.KeyCondition;

/**
 * A transaction that is being put together. It is conditional on the term from the start, and with
 * every change on the version that its key is known to have.
 */
final class TransactionDraft {
  /**
   * Segments in one transaction, in bytes: well inside the key-value store's 64 KiB for all of it.
   */
  private static final int MAX_SEGMENT_BYTES = 48 * 1024;

  /** Bytes of a change in a request beside its key and its value: its condition and field names. */
  private static final int CHANGE_OVERHEAD_BYTES = 80;

  private final Map<String, Revision> conditions = new LinkedHashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<RecordWrite> recordWrites = new ArrayList<>();
  private final List<AuxiliaryWrite> auxiliaryWrites = new ArrayList<>();
  private final int maxChanges;
  private int segmentBytes;

  /**
   * Creates an empty draft.
   *
   * @param termRevision version of the term's key under which the transaction is valid
   * @param maxChanges changes that it may carry
   */
  TransactionDraft(Revision termRevision, int maxChanges) {
    this.maxChanges = maxChanges;
    conditions.put(Keys.TERM, termRevision);
  }

  boolean isEmpty() {
    return changes.isEmpty();
  }

  /** How many more changes it may carry. */
  int freeChanges() {
    return maxChanges - changes.size();
  }

  boolean isFull() {
    return freeChanges() <= 0;
  }

  /** Whether a segment may join the others; the first one always may. */
  boolean hasBytesFor(String key, int valueBytes) {
    return isEmpty() || segmentBytes + requestBytes(key, valueBytes) <= MAX_SEGMENT_BYTES;
  }

  /** Sets a segment's key and counts its bytes. */
  void putSegment(String key, JsonNode value, int valueBytes, Revision expected) {
    segmentBytes += requestBytes(key, valueBytes);
    put(key, value, expected);
  }

  /**
   * Sets a key.
   *
   * @param expected the key's version, without which the whole transaction is not applied
   */
  void put(String key, JsonNode value, Revision expected) {
    conditions.put(key, expected);
    changes.add(new Change.Put(key, value, 0));
  }

  /** Removes a key, on the same condition as in {@link #put}. */
  void delete(String key, Revision expected) {
    conditions.put(key, expected);
    changes.add(new Change.Delete(key));
  }

  /** Adds what follows for a job once the changes are durable. */
  void add(RecordWrite write) {
    recordWrites.add(write);
  }

  /** Adds the auxiliary write that a change belongs to. */
  void add(AuxiliaryWrite write) {
    auxiliaryWrites.add(write);
  }

  /** The finished transaction, or nothing where no change was added. */
  Optional<LedgerTransaction> build() {
    return isEmpty()
        ? Optional.empty()
        : Optional.of(
            new LedgerTransaction(
                new CompareAndSwap(KeyCondition.allOf(conditions), changes),
                recordWrites,
                auxiliaryWrites));
  }

  private static int requestBytes(String key, int valueBytes) {
    return valueBytes + key.length() + CHANGE_OVERHEAD_BYTES;
  }
}
