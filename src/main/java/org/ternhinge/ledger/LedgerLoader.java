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
import org.ternhinge.model.EventLine;
import org.ternhinge.model.JobId;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.wire.WireException;

/**
 * Loads the state for a new leader: all unfinished jobs, and the provision requests and machine
 * releases in progress. A job with an unreadable segment is logged and skipped as a whole, so that
 * it does not prevent the others from being loaded.
 */
public final class LedgerLoader {
  private static final Logger LOG = LoggerFactory.getLogger(LedgerLoader.class);

  /** Keys per page, within the key-value store's limits of 1000 items and 512 KiB per page. */
  private static final int PAGE_KEYS = 500;

  /** Seconds before a page is requested again after a failure. */
  private static final double RETRY_S = 0.3;

  /**
   * The loaded records.
   *
   * @param revision revision after which changes must be read by a watch
   */
  public record LoadedState(
      List<Job> jobs, List<Entry> provisions, List<Entry> releases, Revision revision) {}

  /** The entries with a prefix that have been read so far. */
  private record Range(String prefix, List<Entry> entries) {
    Range(String prefix) {
      this(prefix, new ArrayList<>());
    }

    /** Returns the key after which the next page starts, or null for the first page. */
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
  private final Deque<Range> unreadRanges = new ArrayDeque<>(List.of(jobs, provisions, releases));

  /** Revision of the first page; later pages may or may not include changes made after it. */
  private Revision revision;

  /**
   * Creates a loader.
   *
   * @param lock held while responses are handled
   */
  public LedgerLoader(KeyValueStore store, Clock clock, Lock lock) {
    this.store = store;
    this.clock = clock;
    this.locked = new LockedExecutor(lock);
  }

  /** Reads all records, retrying without limit, and then invokes the callback under the lock. */
  public void load(Consumer<LoadedState> onLoaded) {
    if (unreadRanges.isEmpty()) {
      onLoaded.accept(finish());
      return;
    }
    Range range = unreadRanges.peek();
    MonotonicTime sent = clock.now();
    locked.whenComplete(
        store.list(range.prefix(), range.lastKey(), PAGE_KEYS, RequestPriority.RENEWAL),
        outcome -> {
          logRead(range, sent, outcome);
          handlePage(range, outcome, onLoaded);
        });
  }

  private void logRead(Range range, MonotonicTime sent, Outcome<KeyValueStore.Page> outcome) {
    EventLine line =
        EventLine.of("store-read", "recovery")
            .with("prefix", range.prefix())
            .with("after", range.lastKey())
            .withSeconds("took_s", clock.now().secondsSince(sent));
    if (outcome instanceof Outcome.Applied<KeyValueStore.Page> applied) {
      line.with("entries", applied.value().entries().size());
      line.with("revision", applied.value().revision());
    } else {
      line.with("failure", outcome);
    }
    LOG.info("{}", line);
  }

  private void handlePage(
      Range range, Outcome<KeyValueStore.Page> outcome, Consumer<LoadedState> onLoaded) {
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
      unreadRanges.remove();
    }
  }

  private LoadedState finish() {
    Map<JobId, Job> jobsById = new TreeMap<>();
    MonotonicTime now = clock.now();
    for (Entry entry : jobs.entries()) {
      try {
        read(entry, jobsById, now);
      } catch (WireException | RuntimeException e) {
        LOG.error("skipping unreadable job record {}: {}", entry.key(), e.toString());
        // Without one of its segments, tasks that run or are done would look as if never started.
        jobsById.remove(jobOf(entry));
      }
    }
    return new LoadedState(
        new ArrayList<>(jobsById.values()), provisions.entries(), releases.entries(), revision);
  }

  private static void read(Entry entry, Map<JobId, Job> jobsById, MonotonicTime now)
      throws WireException {
    int slash = entry.key().indexOf('/', Keys.JOBS.length());
    if (slash < 0) {
      Job job = RecordCodec.decodeFirst(entry.value(), entry.revision(), now);
      jobsById.put(job.spec().id(), job);
      return;
    }
    // Keys are listed in order, so the first segment has been read already.
    Job job = jobsById.get(jobOf(entry));
    if (job != null) {
      int segment = Integer.parseInt(entry.key().substring(slash + 1));
      RecordCodec.decodeTasks(job, segment, entry.value(), entry.revision(), now);
    }
  }

  /** The job to whose record an entry belongs. */
  private static JobId jobOf(Entry entry) {
    int slash = entry.key().indexOf('/', Keys.JOBS.length());
    int end = slash < 0 ? entry.key().length() : slash;
    return new JobId(entry.key().substring(Keys.JOBS.length(), end));
  }

  /** Reads the record of a newly accepted job. */
  public static Job read(JsonNode value, Revision revision, MonotonicTime now)
      throws WireException {
    return RecordCodec.decodeFirst(value, revision, now);
  }
}
