package org.ternhinge.term;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.store.Entry;
import org.ternhinge.wire.Json;

/**
 * Packs many small entries into few records of the key-value store. A write of a record consumes
 * one unit of the store's rate limit, however many of its entries have changed. With a record for
 * each entry, the provision requests of a start without machines would consume the rate limit while
 * hundreds of services wait for their own writes. Guarded by the controller's lock.
 */
public final class BucketedRecords {
  private static final Logger LOG = LoggerFactory.getLogger(BucketedRecords.class);
  private static final Pattern INDEX = Pattern.compile("0|[1-9][0-9]{0,3}");

  /** The braces of a JSON object. */
  private static final int EMPTY_OBJECT_BYTES = 2;

  /** Two quotes, a colon and a comma. */
  private static final int ENTRY_SYNTAX_BYTES = 4;

  /** One record with its entries and the size of its JSON. */
  private static final class Bucket {
    private final String key;
    private final Map<String, JsonNode> entries = new HashMap<>();
    private int recordBytes = EMPTY_OBJECT_BYTES;

    Bucket(String key) {
      this.key = key;
    }

    boolean hasSpace(int entryBytes, int maxBytes) {
      return entries.isEmpty() || recordBytes + entryBytes <= maxBytes;
    }

    JsonNode value() {
      ObjectNode out = Json.object();
      entries.forEach(out::set);
      return out;
    }

    void add(String name, JsonNode value) {
      JsonNode previous = entries.put(name, value);
      recordBytes +=
          sizeInBytes(name, value) - (previous == null ? 0 : sizeInBytes(name, previous));
    }

    void remove(String name) {
      JsonNode previous = entries.remove(name);
      recordBytes -= previous == null ? 0 : sizeInBytes(name, previous);
    }
  }

  private final LedgerWriter writer;
  private final String prefix;
  private final int maxRecordBytes;
  private final List<Bucket> buckets = new ArrayList<>();
  private final Map<String, Bucket> bucketByName = new HashMap<>();

  /**
   * Creates records without entries.
   *
   * @param prefix prefix of the records' keys, which is followed by a number
   * @param maxRecordBytes the largest size of a record; a larger entry is stored in a record of its
   *     own
   */
  public BucketedRecords(LedgerWriter writer, String prefix, int maxRecordBytes) {
    this.writer = writer;
    this.prefix = prefix;
    this.maxRecordBytes = maxRecordBytes;
  }

  private static int sizeInBytes(String name, JsonNode value) {
    return name.length() + Json.bytes(value).length + ENTRY_SYNTAX_BYTES;
  }

  /**
   * Restores the entries of a record that an earlier leadership wrote.
   *
   * @param onEntry receives the name and value of each entry; it may remove the entry
   */
  public void restore(Entry entry, BiConsumer<String, JsonNode> onEntry) {
    String number = entry.key().substring(prefix.length());
    if (!INDEX.matcher(number).matches() || !entry.value().isObject()) {
      // Written by another version or by hand. If this failed, no leader would become ready.
      LOG.error("ignoring record {}: its key or value has an unknown format", entry.key());
      return;
    }
    writer.setRevision(entry.key(), entry.revision());
    Bucket bucket = bucketAt(Integer.parseInt(number));
    entry
        .value()
        .properties()
        .forEach(
            e -> {
              bucket.add(e.getKey(), e.getValue());
              bucketByName.put(e.getKey(), bucket);
            });
    // The callback may remove its entry, so the bucket must be complete before the first call.
    entry.value().properties().forEach(e -> onEntry.accept(e.getKey(), e.getValue()));
  }

  private Bucket bucketAt(int index) {
    while (buckets.size() <= index) {
      buckets.add(new Bucket(prefix + buckets.size()));
    }
    return buckets.get(index);
  }

  /**
   * Adds an entry to the first record with space for it.
   *
   * @param onDurable runs once the entry is durable in the key-value store
   */
  public void put(String name, JsonNode value, Runnable onDurable) {
    Bucket bucket = firstWithSpace(sizeInBytes(name, value));
    bucket.add(name, value);
    bucketByName.put(name, bucket);
    writer.write(bucket.key, bucket::value, onDurable);
  }

  private Bucket firstWithSpace(int entryBytes) {
    int index = 0;
    while (!bucketAt(index).hasSpace(entryBytes, maxRecordBytes)) {
      index++;
    }
    return bucketAt(index);
  }

  /** Removes an entry that is no longer needed; an unknown name is ignored. */
  public void remove(String name) {
    Bucket bucket = bucketByName.remove(name);
    if (bucket != null) {
      bucket.remove(name);
      writer.write(bucket.key, bucket::value);
    }
  }
}
