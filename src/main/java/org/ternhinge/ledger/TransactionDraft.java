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
 * A transaction under construction. It is conditional on the term and on the expected revision of
 * each key that it changes.
 */
final class TransactionDraft {
  /**
   * Maximum total bytes of segments in a transaction, well below the key-value store's limit of 64
   * KiB for the whole request.
   */
  private static final int MAX_SEGMENT_BYTES = 48 * 1024;

  /** Bytes of a change in a request besides its key and value: its condition and field names. */
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
   * @param termRevision revision of the term's key under which the transaction is valid
   * @param maxChanges maximum number of changes in the transaction
   */
  TransactionDraft(Revision termRevision, int maxChanges) {
    this.maxChanges = maxChanges;
    conditions.put(Keys.TERM, termRevision);
  }

  boolean isEmpty() {
    return changes.isEmpty();
  }

  /** Number of changes that can still be added. */
  int freeChanges() {
    return maxChanges - changes.size();
  }

  boolean isFull() {
    return freeChanges() <= 0;
  }

  /** Whether there is space for a segment; always true for the first one. */
  boolean hasBytesFor(String key, int valueBytes) {
    return isEmpty() || segmentBytes + requestBytes(key, valueBytes) <= MAX_SEGMENT_BYTES;
  }

  /** Sets the key of a segment and adds its bytes to the total. */
  void putSegment(String key, JsonNode value, int valueBytes, Revision expected) {
    segmentBytes += requestBytes(key, valueBytes);
    put(key, value, expected);
  }

  /**
   * Sets a key.
   *
   * @param expected the key's expected revision; otherwise the whole transaction is not applied
   */
  void put(String key, JsonNode value, Revision expected) {
    conditions.put(key, expected);
    changes.add(new Change.Put(key, value, 0));
  }

  /** Deletes a key, under the same condition as {@link #put}. */
  void delete(String key, Revision expected) {
    conditions.put(key, expected);
    changes.add(new Change.Delete(key));
  }

  /** Adds the record write that a change belongs to. */
  void add(RecordWrite write) {
    recordWrites.add(write);
  }

  /** Adds the auxiliary write that a change belongs to. */
  void add(AuxiliaryWrite write) {
    auxiliaryWrites.add(write);
  }

  /** Returns the transaction, or empty if no change was added. */
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
