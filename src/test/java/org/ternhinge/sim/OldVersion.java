package org.ternhinge.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.http.Request;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * Models the version that preceded dependent jobs on top of the current code. It differs as
 * follows:
 *
 * <ul>
 *   <li>it ignores {@code bidur_eftir} in submissions and records, and so drops the field from
 *       every record that it writes back;
 *   <li>its leader record does not declare support of dependent jobs;
 *   <li>it does not read {@code state.next}, so its writes follow the larger limits.
 * </ul>
 *
 * <p>Scheduling, timing and record encoding of that version are not modelled; the encoding is
 * covered by {@code ProductionRecordsTest}.
 */
final class OldVersion {
  private static final String DEPENDENCIES = "bidur_eftir";

  private OldVersion() {}

  /** A submission as that version reads it. */
  static Request request(Request request) {
    try {
      if (!request.path().equals("/submissions")) {
        return request;
      }
      JsonNode body = Json.parse(request.body());
      return body.has(DEPENDENCIES)
          ? new Request(
              request.method(),
              request.path(),
              Json.bytes(((ObjectNode) body.deepCopy()).without(DEPENDENCIES)))
          : request;
    } catch (WireException malformed) {
      return request;
    }
  }

  private static JsonNode value(JsonNode value) {
    if (value == null || !value.path("s").has(DEPENDENCIES)) {
      return value;
    }
    ObjectNode out = value.deepCopy();
    ((ObjectNode) out.get("s")).remove(DEPENDENCIES);
    return out;
  }

  private static Entry entry(Entry entry) {
    return new Entry(entry.key(), value(entry.value()), entry.revision());
  }

  private static Change change(Change change) {
    if (change instanceof Change.Put put && put.key().equals("leader")) {
      return new Change.Put(
          put.key(), ((ObjectNode) put.value().deepCopy()).without("deps"), put.lease());
    }
    return change;
  }

  /** The key-value store as that version reads and writes it. */
  static final class Store extends ForwardingKeyValueStore {
    Store(KeyValueStore delegate) {
      super(delegate);
    }

    @Override
    public CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority) {
      return super.get(key, priority).thenApply(outcome -> outcome.map(Store::withoutDependencies));
    }

    private static ReadResult withoutDependencies(ReadResult read) {
      return new ReadResult(read.entry().map(OldVersion::entry));
    }

    @Override
    public CompletableFuture<Outcome<Page>> list(
        String prefix, String after, int limit, RequestPriority priority) {
      return super.list(prefix, after, limit, priority)
          .thenApply(outcome -> outcome.map(Store::withoutDependencies));
    }

    private static Page withoutDependencies(Page page) {
      List<Entry> entries = page.entries().stream().map(OldVersion::entry).toList();
      return new Page(entries, page.more(), page.revision());
    }

    @Override
    public CompletableFuture<Outcome<WatchResult>> watch(
        String prefix, Revision from, double waitS) {
      return super.watch(prefix, from, waitS)
          .thenApply(outcome -> outcome.map(Store::withoutDependencies));
    }

    private static WatchResult withoutDependencies(WatchResult changes) {
      List<Change.Observed> seen =
          changes.changes().stream()
              .map(c -> new Change.Observed(c.key(), value(c.value()), c.revision()))
              .toList();
      return new WatchResult(changes.revision(), seen);
    }

    @Override
    public CompletableFuture<Outcome<Revision>> compareAndSwap(
        CompareAndSwap swap, RequestPriority priority) {
      List<Change> changes = swap.changes().stream().map(OldVersion::change).toList();
      return super.compareAndSwap(new CompareAndSwap(swap.conditions(), changes), priority);
    }
  }
}
