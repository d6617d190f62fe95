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
 * Many small facts in few records. A change of a record costs one of the key-value store's scarce
 * changes however much of it is new: with a record for each, the provision requests of a start from
 * nothing took the changes that hundreds of services were waiting for.
 */
public final class BucketedRecords {
  private static final Logger LOG = LoggerFactory.getLogger(BucketedRecords.class);
  private static final Pattern INDEX = Pattern.compile("0|[1-9][0-9]{0,3}");

  private static final class Bucket {
    private final String key;
    private final Map<String, JsonNode> items = new HashMap<>();
    private int bytes = 2;

    Bucket(String key) {
      this.key = key;
    }

    JsonNode value() {
      ObjectNode out = Json.object();
      items.forEach(out::set);
      return out;
    }

    void add(String name, JsonNode value) {
      JsonNode before = items.put(name, value);
      bytes += bytes(name, value) - (before == null ? 0 : bytes(name, before));
    }

    void remove(String name) {
      JsonNode before = items.remove(name);
      bytes -= before == null ? 0 : bytes(name, before);
    }
  }

  private final LedgerWriter writer;
  private final String prefix;
  private final int valueBytes;
  private final List<Bucket> buckets = new ArrayList<>();
  private final Map<String, Bucket> bucketByName = new HashMap<>();

  /**
   * Creates records without entries.
   *
   * @param prefix of the records' keys, which end in a number
   * @param valueBytes the most that a record may take
   */
  public BucketedRecords(LedgerWriter writer, String prefix, int valueBytes) {
    this.writer = writer;
    this.prefix = prefix;
    this.valueBytes = valueBytes;
  }

  private static int bytes(String name, JsonNode value) {
    return name.length() + Json.bytes(value).length + 4;
  }

  /** Takes over a record of an earlier leader. */
  public void known(Entry entry, BiConsumer<String, JsonNode> each) {
    String number = entry.key().substring(prefix.length());
    if (!INDEX.matcher(number).matches() || !entry.value().isObject()) {
      // Of another version, or written by hand: a leader that stumbled here would never be ready.
      LOG.error("record {} is not one of ours and is left alone", entry.key());
      return;
    }
    writer.known(entry.key(), entry.revision());
    Bucket bucket = bucket(Integer.parseInt(number));
    entry
        .value()
        .properties()
        .forEach(
            e -> {
              bucket.add(e.getKey(), e.getValue());
              bucketByName.put(e.getKey(), bucket);
            });
    // What each fact asks for may remove it at once, so the record has to be whole before.
    entry.value().properties().forEach(e -> each.accept(e.getKey(), e.getValue()));
  }

  private Bucket bucket(int index) {
    while (buckets.size() <= index) {
      buckets.add(new Bucket(prefix + buckets.size()));
    }
    return buckets.get(index);
  }

  /** Notes a fact; the action follows once the key-value store holds it. */
  public void put(String name, JsonNode value, Runnable durable) {
    Bucket target = null;
    for (int i = 0; target == null; i++) {
      Bucket bucket = bucket(i);
      boolean fits = bucket.items.isEmpty() || bucket.bytes + bytes(name, value) <= valueBytes;
      target = fits ? bucket : null;
    }
    target.add(name, value);
    bucketByName.put(name, target);
    writer.write(target.key, target::value, durable);
  }

  /** Forgets a fact that has done its duty. */
  public void remove(String name) {
    Bucket bucket = bucketByName.remove(name);
    if (bucket != null) {
      bucket.remove(name);
      writer.write(bucket.key, bucket::value, null);
    }
  }
}
