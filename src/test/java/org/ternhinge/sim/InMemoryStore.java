package org.ternhinge.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;

/** An in-memory key-value store that behaves as the store protocol specifies, without a network. */
public final class InMemoryStore {
  private record Value(JsonNode value, long revision, long lease) {}

  private record Lease(double lifeS, MonotonicTime ends) {}

  private record Watch(
      String prefix,
      long from,
      BooleanSupplier suspended,
      Consumer<KeyValueStore.WatchResult> to) {}

  private final Clock clock;
  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Change.Observed> log = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision = 1;
  private long lastLease;

  /** Creates an empty store. */
  public InMemoryStore(Clock clock) {
    this.clock = clock;
  }

  /** Reads a key. */
  public KeyValueStore.ReadResult get(String key) {
    Value value = keys.get(key);
    return new KeyValueStore.ReadResult(
        value == null
            ? java.util.Optional.empty()
            : java.util.Optional.of(new Entry(key, value.value, new Revision(value.revision))));
  }

  /** Reads a page of keys. */
  public KeyValueStore.Page list(String prefix, String after, int limit) {
    List<Entry> out = new ArrayList<>();
    boolean more = false;
    for (var e : keys.tailMap(after == null ? prefix : after, after == null).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        break;
      }
      if (out.size() == limit) {
        more = true;
        break;
      }
      out.add(new Entry(e.getKey(), e.getValue().value, new Revision(e.getValue().revision)));
    }
    return new KeyValueStore.Page(out, more, new Revision(revision));
  }

  /** Applies a transaction if its conditions hold. */
  public Outcome<Revision> compareAndSwap(CompareAndSwap swap) {
    StringBuilder failed = new StringBuilder(" ");
    swap.conditions()
        .forEach(
            condition -> {
              Value value = keys.get(condition.key());
              if ((value == null ? 0 : value.revision) != condition.expected().value()) {
                failed.append(condition.key()).append(' ');
              }
            });
    if (failed.length() > 1) {
      return Outcome.notApplied(Reason.CONFLICT, failed.toString());
    }
    for (Change c : swap.changes()) {
      if (c instanceof Change.Put put && put.lease() != 0 && !leases.containsKey(put.lease())) {
        return Outcome.notApplied(Reason.INVALID, "no such lease");
      }
    }
    revision++;
    Set<String> touched = new HashSet<>();
    for (Change c : swap.changes()) {
      if (!touched.add(c.key())) {
        throw new IllegalStateException("duplicate key in transaction: " + c.key());
      }
      if (c instanceof Change.Put put) {
        keys.put(put.key(), new Value(put.value(), revision, put.lease()));
        log.add(new Change.Observed(put.key(), put.value(), new Revision(revision)));
      } else if (keys.remove(c.key()) != null) {
        log.add(new Change.Observed(c.key(), null, new Revision(revision)));
      }
    }
    notifyWatches();
    return Outcome.applied(new Revision(revision));
  }

  /** Grants a lease. */
  public long grantLease(long millis) {
    long id = ++lastLease;
    leases.put(id, new Lease(millis / 1000.0, clock.now().plusSeconds(millis / 1000.0)));
    expireLater(id, millis / 1000.0);
    return id;
  }

  private void expireLater(long id, double seconds) {
    clock.schedule(
        seconds + 0.05,
        () -> {
          Lease lease = leases.get(id);
          if (lease != null && lease.ends.isBefore(clock.now())) {
            revokeLease(id);
          }
        });
  }

  /** Renews a lease that has not expired. */
  public Outcome<Long> renewLease(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return Outcome.notApplied(Reason.NOT_FOUND, "");
    }
    leases.put(id, new Lease(lease.lifeS, clock.now().plusSeconds(lease.lifeS)));
    expireLater(id, lease.lifeS);
    return Outcome.applied(id);
  }

  /** Renews all leases after an outage, so that each has its full duration again. */
  public void renewAllLeases() {
    List.copyOf(leases.keySet()).forEach(this::renewLease);
  }

  /** Extends all leases by the duration of an outage, so that none expires during it. */
  public void extendLeases(double seconds) {
    leases.replaceAll((id, l) -> new Lease(l.lifeS, clock.now().plusSeconds(seconds + l.lifeS)));
  }

  /** Revokes a lease and removes its keys. */
  public void revokeLease(long id) {
    if (leases.remove(id) == null) {
      return;
    }
    revision++;
    for (var it = keys.entrySet().iterator(); it.hasNext(); ) {
      var entry = it.next();
      if (entry.getValue().lease == id) {
        // Read the key before the removal, after which a TreeMap entry may hold another key.
        String key = entry.getKey();
        it.remove();
        log.add(new Change.Observed(key, null, new Revision(revision)));
      }
    }
    notifyWatches();
  }

  /**
   * Watches a prefix: answers with the changes after a revision as soon as there are any, or when
   * the time is over.
   */
  public void watch(
      String prefix, long from, double waitS, Consumer<KeyValueStore.WatchResult> to) {
    watch(prefix, from, waitS, () -> false, to);
  }

  /**
   * Watches a prefix; the watch is not answered, not even at its end, while it is suspended, for
   * example during an outage.
   */
  public void watch(
      String prefix,
      long from,
      double waitS,
      BooleanSupplier suspended,
      Consumer<KeyValueStore.WatchResult> to) {
    Watch watch = new Watch(prefix, from, suspended, to);
    if (!answer(watch, false)) {
      watches.add(watch);
      clock.schedule(waitS, () -> endWatch(watch));
    }
  }

  private void endWatch(Watch watch) {
    if (watch.suspended.getAsBoolean()) {
      clock.schedule(0.1, () -> endWatch(watch));
    } else if (watches.remove(watch)) {
      answer(watch, true);
    }
  }

  private boolean answer(Watch watch, boolean evenIfEmpty) {
    List<Change.Observed> out = new ArrayList<>();
    for (Change.Observed c : log) {
      if (c.revision().value() > watch.from && c.key().startsWith(watch.prefix)) {
        out.add(c);
      }
    }
    if (out.isEmpty() && !evenIfEmpty) {
      return false;
    }
    watch.to.accept(new KeyValueStore.WatchResult(new Revision(revision), out));
    return true;
  }

  /** Answers watches that have changes and are not suspended. */
  public void notifyWatches() {
    for (Watch w : List.copyOf(watches)) {
      if (!w.suspended.getAsBoolean() && answer(w, false)) {
        watches.remove(w);
      }
    }
  }
}
