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
 * Creates a node of the version before dependent jobs. The version before dependent jobs, modelled
 * by what it drops and writes, around the code of today:
 *
 * <ul>
 *   <li>it ignores {@code bidur_eftir} in a submission and in a record, and so writes every record
 *       that it touches back without it;
 *   <li>it does not say in the leader's key that it knows dependent jobs;
 *   <li>it does not read {@code state.next}, so it writes records under the larger limits.
 * </ul>
 *
 * <p>Its scheduling, its timing and the bytes of its records are not modelled here: the last are
 * pinned in {@code ProductionRecordsTest}.
 */
final class OldVersion {
  private static final String DEPENDENCIES = "bidur_eftir";

  private OldVersion() {}

  /** A submission as it understands it. */
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
  record Store(KeyValueStore behind) implements KeyValueStore {
    @Override
    public CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority) {
      return behind
          .get(key, priority)
          .thenApply(outcome -> outcome.map(r -> new ReadResult(r.entry().map(OldVersion::entry))));
    }

    @Override
    public CompletableFuture<Outcome<Page>> list(
        String prefix, String after, int limit, RequestPriority priority) {
      return behind
          .list(prefix, after, limit, priority)
          .thenApply(
              outcome ->
                  outcome.map(
                      page ->
                          new Page(
                              page.entries().stream().map(OldVersion::entry).toList(),
                              page.more(),
                              page.revision())));
    }

    @Override
    public CompletableFuture<Outcome<WatchResult>> watch(
        String prefix, Revision from, double waitS) {
      return behind
          .watch(prefix, from, waitS)
          .thenApply(
              outcome ->
                  outcome.map(
                      seen ->
                          new WatchResult(
                              seen.revision(), seen.changes().stream().map(Store::seen).toList())));
    }

    private static Change.Observed seen(Change.Observed change) {
      return new Change.Observed(change.key(), value(change.value()), change.revision());
    }

    @Override
    public CompletableFuture<Outcome<Revision>> compareAndSwap(
        CompareAndSwap compareAndSwap, RequestPriority priority) {
      List<Change> changes = compareAndSwap.changes().stream().map(OldVersion::change).toList();
      return behind.compareAndSwap(
          new CompareAndSwap(compareAndSwap.conditions(), changes), priority);
    }

    @Override
    public CompletableFuture<Outcome<Long>> grantLease(long millis) {
      return behind.grantLease(millis);
    }

    @Override
    public CompletableFuture<Outcome<Long>> renewLease(long lease, double timeoutS) {
      return behind.renewLease(lease, timeoutS);
    }

    @Override
    public CompletableFuture<Outcome<Long>> revokeLease(long lease) {
      return behind.revokeLease(lease);
    }

    @Override
    public int availableChanges(RequestPriority priority) {
      return behind.availableChanges(priority);
    }

    @Override
    public double secondsUntilAvailable(int changes, RequestPriority priority) {
      return behind.secondsUntilAvailable(changes, priority);
    }
  }
}
