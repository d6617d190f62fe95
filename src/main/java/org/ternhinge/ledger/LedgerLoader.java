package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.wire.WireException;

/**
 * Reads everything that a new leader starts from: all unfinished jobs, the provision requests and
 * the releases under way. A record that can't be read is left out and logged; it doesn't keep the
 * others back.
 */
public final class LedgerLoader {
  private static final Logger LOG = LoggerFactory.getLogger(LedgerLoader.class);

  /** Keys asked for at once: within the key-value store's page of 1000 items and 512 KiB. */
  private static final int PAGE_KEYS = 500;

  /** Seconds until a page that wasn't answered is asked for again. */
  private static final double RETRY_S = 0.3;

  /**
   * What the key-value store holds.
   *
   * @param revision changes after this one come by the watch
   */
  public record Loaded(
      List<Job> jobs, List<Entry> provisions, List<Entry> releases, Revision revision) {}

  /** All keys with a prefix, as far as they are read. */
  private record Range(String prefix, List<Entry> entries) {
    Range(String prefix) {
      this(prefix, new ArrayList<>());
    }

    /** The key after which the next page begins, or null for the first page. */
    String lastKey() {
      return entries.isEmpty() ? null : entries.get(entries.size() - 1).key();
    }
  }

  private final KeyValueStore store;
  private final Clock clock;
  private final LockedExecutor locked;
  private final Range jobs = new Range(Keys.JOBS);
  private final Range provisions = new Range(Keys.PROVISIONS);
  private final Range releases = new Range(Keys.RELEASES);
  private final Deque<Range> unread = new ArrayDeque<>(List.of(jobs, provisions, releases));

  /** Of the first page: whatever changed after it may be missing in later ones. */
  private Revision revision;

  /**
   * Creates a loader that has read nothing yet.
   *
   * @param lock taken whenever an answer comes
   */
  public LedgerLoader(KeyValueStore store, Clock clock, Lock lock) {
    this.store = store;
    this.clock = clock;
    this.locked = new LockedExecutor(lock);
  }

  /** Reads until all is there, however often it has to ask; then calls back under the lock. */
  public void load(Consumer<Loaded> onLoaded) {
    if (unread.isEmpty()) {
      onLoaded.accept(finish());
      return;
    }
    Range range = unread.peek();
    locked.whenComplete(
        store.list(range.prefix(), range.lastKey(), PAGE_KEYS, RequestPriority.RENEWAL),
        outcome -> answered(range, outcome, onLoaded));
  }

  private void answered(
      Range range, Outcome<KeyValueStore.Page> outcome, Consumer<Loaded> onLoaded) {
    if (outcome instanceof Outcome.Applied<KeyValueStore.Page> applied) {
      addPage(range, applied.value());
      load(onLoaded);
    } else {
      clock.schedule(RETRY_S, locked.guarded(() -> load(onLoaded)));
    }
  }

  private void addPage(Range range, KeyValueStore.Page page) {
    if (revision == null) {
      revision = page.revision();
    }
    range.entries().addAll(page.entries());
    if (!page.more() || page.entries().isEmpty()) {
      unread.remove();
    }
  }

  private Loaded finish() {
    Map<JobId, Job> found = new TreeMap<>();
    MonotonicTime now = clock.now();
    for (Entry entry : jobs.entries()) {
      try {
        read(entry, found, now);
      } catch (WireException | RuntimeException e) {
        LOG.error("record {} is unreadable: {}", entry.key(), e.toString());
      }
    }
    return new Loaded(
        new ArrayList<>(found.values()), provisions.entries(), releases.entries(), revision);
  }

  private static void read(Entry entry, Map<JobId, Job> found, MonotonicTime now)
      throws WireException {
    String name = entry.key().substring(Keys.JOBS.length());
    int slash = name.indexOf('/');
    if (slash < 0) {
      Job job = RecordCodec.decodeFirst(entry.value(), entry.revision(), now);
      found.put(job.spec().id(), job);
      return;
    }
    // Keys come in order, so the first segment was read before.
    Job job = found.get(new JobId(name.substring(0, slash)));
    if (job != null) {
      int segment = Integer.parseInt(name.substring(slash + 1));
      RecordCodec.decodeTasks(job, segment, entry.value(), entry.revision(), now);
    }
  }

  /** Reads the record of a job that was just accepted. */
  public static Job read(JsonNode value, Revision revision, MonotonicTime now)
      throws WireException {
    return RecordCodec.decodeFirst(value, revision, now);
  }
}
