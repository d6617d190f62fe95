package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
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
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.state.Entry;
import org.ternhinge.state.StateStore;
import org.ternhinge.wire.WireException;

/** Reads everything that a new leader starts from. */
public final class LedgerLoader {
  private static final Logger LOG = LoggerFactory.getLogger(LedgerLoader.class);
  private static final int PAGE = 500;

  /**
   * What the state service holds.
   *
   * @param revision changes after this one come by the watch
   */
  public record Loaded(
      List<Job> jobs, List<Entry> rentals, List<Entry> releases, Revision revision) {}

  private final StateStore store;
  private final Clock clock;
  private final Lock lock;
  private final List<Entry> jobs = new ArrayList<>();
  private final List<Entry> rentals = new ArrayList<>();
  private final List<Entry> releases = new ArrayList<>();
  private Revision revision;

  public LedgerLoader(StateStore store, Clock clock, Lock lock) {
    this.store = store;
    this.clock = clock;
    this.lock = lock;
  }

  /** Reads until all is there, however often it has to ask. */
  public void load(Consumer<Loaded> then) {
    page(
        Keys.JOBS,
        null,
        jobs,
        () ->
            page(
                Keys.RENTALS,
                null,
                rentals,
                () -> page(Keys.RELEASES, null, releases, () -> then.accept(finish()))));
  }

  private void page(String prefix, String after, List<Entry> into, Runnable then) {
    store
        .list(prefix, after, PAGE, RequestPriority.RENEWAL)
        .whenComplete(
            (o, e) -> {
              lock.lock();
              try {
                if (o instanceof Outcome.Applied<StateStore.Page> applied) {
                  StateStore.Page p = applied.value();
                  if (revision == null) {
                    revision = p.revision();
                  }
                  into.addAll(p.entries());
                  if (p.more() && !p.entries().isEmpty()) {
                    String last = p.entries().get(p.entries().size() - 1).key();
                    page(prefix, last, into, then);
                  } else {
                    then.run();
                  }
                } else {
                  clock.after(0.3, () -> page(prefix, after, into, then));
                }
              } finally {
                lock.unlock();
              }
            });
  }

  private Loaded finish() {
    Map<JobId, Job> found = new TreeMap<>();
    SteadyTime now = clock.now();
    for (Entry e : jobs) {
      String name = e.key().substring(Keys.JOBS.length());
      int slash = name.indexOf('/');
      try {
        if (slash < 0) {
          Job job = RecordCodec.decodeFirst(e.value(), e.revision(), now);
          found.put(job.spec().id(), job);
        } else {
          // Keys come in order, so the first segment is there already.
          Job job = found.get(new JobId(name.substring(0, slash)));
          if (job != null) {
            int segment = Integer.parseInt(name.substring(slash + 1));
            RecordCodec.decodeTasks(job, segment, e.value(), e.revision(), now);
          }
        }
      } catch (WireException | RuntimeException x) {
        LOG.error("record {} is unreadable: {}", e.key(), x.toString());
      }
    }
    return new Loaded(new ArrayList<>(found.values()), rentals, releases, revision);
  }

  /** Reads the record of a job that was just accepted. */
  public static Job read(JsonNode value, Revision revision, SteadyTime now) throws WireException {
    return RecordCodec.decodeFirst(value, revision, now);
  }
}
