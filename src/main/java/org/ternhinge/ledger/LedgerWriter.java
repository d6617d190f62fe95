package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.state.Change;
import org.ternhinge.state.Entry;
import org.ternhinge.state.StateStore;
import org.ternhinge.state.Txn;
import org.ternhinge.wire.Json;

/**
 * Writes the ledger's changes, one transaction at a time, many records to a transaction. Each is
 * conditional on the term and on every key's version. A transaction whose answer was lost is sent
 * again unchanged until its fate is known: with the version of each key in its conditions, a copy
 * that is applied late can't undo what came after it.
 */
public final class LedgerWriter {
  private static final Logger LOG = LoggerFactory.getLogger(LedgerWriter.class);
  private static final int MAX_BYTES = 48 * 1024;
  private static final double RETRY_S = 0.2;
  private static final double LOOK_S = 0.05;

  /** How long endings are gathered before they are written. */
  private static final double GATHER_S = 0.4;

  private static final double LATE_S = 2;

  private record Part(Job job, int segment, boolean cancels, boolean ends, List<Attempt> opens) {}

  /** A key beside the jobs' records; what it is set to is asked for when it is written. */
  private record Extra(String key, Supplier<JsonNode> value, List<Runnable> then) {}

  private static final class Batch {
    private final Map<String, Revision> conditions = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Part> parts = new ArrayList<>();
    private final List<Extra> extras = new ArrayList<>();
    private final int limit;
    private boolean mayBeApplied;
    private int bytes;

    /**
     * @param limit changes that it may carry
     */
    Batch(int limit) {
      this.limit = limit;
    }

    /** The change of a key, or null. */
    Change change(String key) {
      for (Change c : changes) {
        if (c.key().equals(key)) {
          return c;
        }
      }
      return null;
    }

    /**
     * The change whose key tells whether the batch was carried out: a value tells more than none.
     */
    Change probe() {
      for (Change c : changes) {
        if (c instanceof Change.Put) {
          return c;
        }
      }
      return changes.get(0);
    }
  }

  private final Ledger ledger;
  private final StateStore store;
  private final Authority authority;
  private final Clock clock;
  private final Lock lock;
  private final int txnOps;
  private final Consumer<List<Attempt>> onDurable;
  private final Map<String, Extra> extras = new LinkedHashMap<>();
  private final Map<String, Revision> extraRevisions = new HashMap<>();
  private Batch batch;

  /** A job whose record is cut anew before anything else, since that takes a batch of its own. */
  private Job repartitionNext;

  private boolean busy;
  private boolean looking;
  private boolean stopped;

  /**
   * @param lock guards the ledger; taken whenever an answer comes
   * @param onDurable hears of the attempts that may now be started; called under the lock, also
   *     with an empty list, after every write
   */
  public LedgerWriter(
      Ledger ledger,
      StateStore store,
      Authority authority,
      Clock clock,
      Lock lock,
      int txnOps,
      Consumer<List<Attempt>> onDurable) {
    this.ledger = ledger;
    this.store = store;
    this.authority = authority;
    this.clock = clock;
    this.lock = lock;
    this.txnOps = txnOps;
    this.onDurable = onDurable;
  }

  public void stop() {
    stopped = true;
  }

  /** Tells the version of a key that was there before this leadership. */
  public void known(String key, Revision revision) {
    extraRevisions.put(key, revision);
  }

  /**
   * Sets a key beside the jobs' records. Several calls for a key before it is written make one
   * change.
   *
   * @param then runs once the state service holds it; may be null
   */
  public void write(String key, Supplier<JsonNode> value, Runnable then) {
    Extra extra = extras.computeIfAbsent(key, k -> new Extra(k, value, new ArrayList<>()));
    if (then != null) {
      extra.then.add(then);
    }
    pump();
  }

  /**
   * Raises the term, so that workers which have seen the new one refuse whatever was sent under the
   * old one, however late it arrives.
   */
  public void raiseTerm(Runnable then) {
    write(Keys.TERM, () -> Json.object().put("n", authority.term().next().value()), then);
  }

  /** Whether a change is waiting or under way. */
  public boolean idle() {
    return batch == null && extras.isEmpty() && !ledger.hasDirty();
  }

  /** Sends what there is to send; called under the lock after every change. */
  public void pump() {
    if (busy || stopped) {
      return;
    }
    if (batch == null) {
      int limit = Math.min(txnOps, store.changesNow(RequestPriority.ATTEMPT));
      if (limit > 0) {
        batch = build(limit);
      }
    }
    if (batch == null) {
      if (!idle()) {
        lookAgain();
      }
      return;
    }
    if (!authority.valid()) {
      retry(RETRY_S);
      return;
    }
    double wait = store.secondsUntilTxn(batch.changes.size(), RequestPriority.ATTEMPT);
    if (wait > 0) {
      // Only a batch that is sent again can come here: a new one was cut to the tokens at hand.
      retry(wait + 0.005);
      return;
    }
    busy = true;
    Batch sent = batch;
    store
        .txn(new Txn(sent.conditions, sent.changes), RequestPriority.ATTEMPT)
        .whenComplete((outcome, error) -> locked(() -> answered(sent, outcome, error)));
  }

  /** Something waits for tokens or for its time; whatever is more urgent may still come before. */
  private void lookAgain() {
    if (looking) {
      return;
    }
    looking = true;
    clock.after(
        LOOK_S,
        () ->
            locked(
                () -> {
                  looking = false;
                  pump();
                }));
  }

  private void locked(Runnable action) {
    lock.lock();
    try {
      action.run();
    } finally {
      lock.unlock();
    }
  }

  private void retry(double seconds) {
    busy = true;
    clock.after(
        seconds,
        () ->
            locked(
                () -> {
                  busy = false;
                  pump();
                }));
  }

  private void answered(Batch sent, Outcome<Revision> outcome, Throwable error) {
    busy = false;
    if (stopped) {
      return;
    }
    if (outcome instanceof Outcome.Applied<Revision> applied) {
      applied(sent, applied.value());
      pump();
    } else if (outcome instanceof Outcome.NotApplied<Revision> not) {
      if (not.reason() == Reason.CONFLICT) {
        if (sent.mayBeApplied) {
          readBack(sent);
        } else {
          authority.lost("conflict on" + not.detail());
        }
      } else if (not.reason() == Reason.INVALID) {
        LOG.error("state service calls a transaction invalid: {}", not.detail());
        authority.lost("invalid transaction");
      } else {
        retry(RETRY_S);
      }
    } else {
      if (error != null) {
        LOG.warn("write failed: {}", error.toString());
      }
      sent.mayBeApplied = true;
      retry(RETRY_S);
    }
  }

  /**
   * A lost answer was followed by a conflict: was it our own first copy? Only while the term is
   * still this leadership's: another one may have written the same value, a cancellation say, and
   * whatever else this batch was to make durable is not.
   */
  private void readBack(Batch sent) {
    Change raise = sent.change(Keys.TERM);
    if (raise != null) {
      // A raise differs from every claim, which names its node's process.
      look(sent, Keys.TERM, entry -> settle(sent, raise, entry));
      return;
    }
    look(
        sent,
        Keys.TERM,
        term -> {
          if (term.isPresent() && term.get().revision().equals(authority.termRevision())) {
            Change probe = sent.probe();
            look(sent, probe.key(), entry -> settle(sent, probe, entry));
          } else {
            authority.lost("a write of ours was overtaken by another term");
          }
        });
  }

  private void look(Batch sent, String key, Consumer<Optional<Entry>> then) {
    busy = true;
    store
        .get(key, RequestPriority.ATTEMPT)
        .whenComplete(
            (outcome, error) ->
                locked(
                    () -> {
                      if (stopped) {
                        return;
                      }
                      if (outcome instanceof Outcome.Applied<StateStore.Read> read) {
                        busy = false;
                        then.accept(read.value().entry());
                      } else {
                        clock.after(RETRY_S, () -> locked(() -> readBack(sent)));
                      }
                    }));
  }

  private void settle(Batch sent, Change probe, Optional<Entry> entry) {
    boolean ours =
        probe instanceof Change.Put put
            ? entry.isPresent() && entry.get().value().equals(put.value())
            : entry.isEmpty();
    if (ours) {
      applied(sent, entry.map(Entry::revision).orElse(Revision.NONE));
      pump();
    } else {
      authority.lost("a write of ours was overtaken");
    }
  }

  private void applied(Batch done, Revision revision) {
    batch = null;
    List<Attempt> opened = new ArrayList<>();
    for (Part part : done.parts) {
      Job job = part.job;
      job.inFlight().clear(part.segment);
      if (part.ends) {
        job.finalIsDurable();
        ledger.ended(job);
        continue;
      }
      boolean gone = part.segment > 0 && job.merged().get(part.segment);
      job.revision(part.segment, gone ? Revision.NONE : revision);
      if (part.cancels) {
        ledger.cancelIsDurable(job);
      }
      for (Attempt a : part.opens) {
        if (job.open(a.task().index()) == a) {
          a.markDurable();
          opened.add(a);
        }
      }
    }
    for (Extra extra : done.extras) {
      if (extra.key.equals(Keys.TERM)) {
        authority.raised(authority.term().next(), revision);
      }
      extraRevisions.put(extra.key, revision);
      extra.then.forEach(Runnable::run);
    }
    onDurable.accept(opened);
  }

  /**
   * Picks what goes first while changes are scarce: cancellations, then what users wait for most.
   * What only notes endings waits a moment, so that one change carries many of them.
   */
  private Batch build(int limit) {
    Batch b = new Batch(limit);
    b.conditions.put(Keys.TERM, authority.termRevision());
    if (repartitionNext != null) {
      Job job = repartitionNext;
      int size = RecordCodec.segmentSize(job.spec(), ledger.valueBytes());
      // While tokens are short it waits for its turn, which comes before everything else's.
      if (!ledger.mayRepartition(job)) {
        repartitionNext = null;
      } else if (segments(job, size) <= b.limit) {
        repartitionNext = null;
        repartition(b, job, size);
      }
      if (!b.changes.isEmpty()) {
        return b;
      }
    }
    SteadyTime now = clock.now();
    List<List<Job>> queues = ledger.takeDirty(now.plusSeconds(-GATHER_S), now.plusSeconds(-LATE_S));
    for (Ledger.Urgency urgency : Ledger.Urgency.values()) {
      if (urgency == Ledger.Urgency.HIGH_OPENS && !addExtras(b)) {
        break;
      }
      boolean full = false;
      for (Job job : queues.get(urgency.ordinal())) {
        if (!add(b, job)) {
          full = true;
          break;
        }
      }
      if (full) {
        break;
      }
    }
    return b.changes.isEmpty() ? null : b;
  }

  /** False when the transaction is full. */
  private boolean addExtras(Batch b) {
    var waiting = extras.values().iterator();
    while (waiting.hasNext()) {
      if (b.changes.size() >= b.limit) {
        return false;
      }
      Extra extra = waiting.next();
      JsonNode value = extra.value.get();
      if (Json.bytes(value).length > ledger.valueBytes()) {
        // Laid down under a larger limit: it is written once enough of it has been settled.
        continue;
      }
      waiting.remove();
      boolean term = extra.key.equals(Keys.TERM);
      Revision known = extraRevisions.getOrDefault(extra.key, Revision.NONE);
      b.conditions.put(extra.key, term ? authority.termRevision() : known);
      b.extras.add(extra);
      b.changes.add(new Change.Put(extra.key, value, 0));
    }
    return true;
  }

  /** Adds what a job has to write; false when the transaction is full. */
  private boolean add(Batch b, Job job) {
    if (job.over()) {
      return addEnd(b, job);
    }
    BitSet dirty = job.dirty();
    boolean whole = true;
    if (job.repartitionWanted()) {
      wantRepartition(job);
    }
    for (int p = dirty.nextSetBit(0); p >= 0; p = dirty.nextSetBit(p + 1)) {
      if (b.changes.size() >= b.limit) {
        return false;
      }
      String key = Keys.segment(job.spec().id(), p);
      boolean merge = p > 0 && job.merged().get(p);
      if (merge && job.revision(p).value() == 0) {
        dirty.clear(p);
        continue;
      }
      if (merge) {
        b.changes.add(new Change.Delete(key));
      } else {
        ObjectNode value = RecordCodec.encode(job, p);
        int bytes = Json.bytes(value).length;
        if (bytes > ledger.valueBytes()) {
          // Laid down under a larger limit, by admission nothing else is: it can be written again
          // once enough of its attempts have ended, or cut anew. Until then the state service holds
          // more of them than there are, which is the safe side.
          wantRepartition(job);
          whole = false;
          continue;
        }
        int size = bytes + key.length() + 80;
        if (b.bytes + size > MAX_BYTES && !b.changes.isEmpty()) {
          return false;
        }
        b.bytes += size;
        b.changes.add(new Change.Put(key, value, 0));
      }
      b.conditions.put(key, job.revision(p));
      b.parts.add(new Part(job, p, p == 0 && job.cancelled(), false, opensIn(job, p)));
      dirty.clear(p);
      job.inFlight().set(p);
    }
    if (whole) {
      ledger.clean(job);
    }
    return true;
  }

  private void wantRepartition(Job job) {
    job.repartitionWanted(false);
    int segments = segments(job, RecordCodec.segmentSize(job.spec(), ledger.valueBytes()));
    if (segments > txnOps) {
      job.markRepartitionTooLarge();
    } else if (repartitionNext == null && ledger.mayRepartition(job)) {
      repartitionNext = job;
    }
  }

  private static int segments(Job job, int size) {
    return (job.spec().tasks() + size - 1) / size;
  }

  /**
   * Cuts a record into smaller segments, all in one transaction: how many tasks a segment is for
   * stands in the first, so that a leader that came in between would read the others wrongly.
   * Smaller segments are more, so each of the old ones is written over. Left as it is where a
   * segment would still be too large: an array has more open attempts then than its admission
   * allows, and they end.
   */
  private void repartition(Batch b, Job job, int size) {
    int before = job.segmentSize();
    job.repartition(size);
    List<ObjectNode> values = new ArrayList<>();
    for (int p = 0; p < job.segments(); p++) {
      ObjectNode value = RecordCodec.encode(job, p);
      if (Json.bytes(value).length > ledger.valueBytes()) {
        job.repartition(before);
        return;
      }
      values.add(value);
    }
    for (int p = 0; p < job.segments(); p++) {
      ObjectNode value = values.get(p);
      String key = Keys.segment(job.spec().id(), p);
      b.bytes += Json.bytes(value).length + key.length() + 80;
      b.changes.add(new Change.Put(key, value, 0));
      b.conditions.put(key, job.revision(p));
      b.parts.add(new Part(job, p, p == 0 && job.cancelled(), false, opensIn(job, p)));
    }
    job.dirty().clear();
    job.inFlight().set(0, job.segments());
    ledger.clean(job);
  }

  private static List<Attempt> opensIn(Job job, int segment) {
    List<Attempt> out = new ArrayList<>();
    for (Attempt a : job.openAttempts()) {
      if (!a.durable() && job.segmentOf(a.task().index()) == segment) {
        out.add(a);
      }
    }
    return out;
  }

  private boolean addEnd(Batch b, Job job) {
    BitSet live = job.liveSegments();
    if (b.changes.size() + live.cardinality() + 2 > b.limit) {
      return addSomeOfEnd(b, job, live);
    }
    String end = Keys.end(job.spec().id());
    b.conditions.put(end, Revision.NONE);
    b.changes.add(new Change.Put(end, RecordCodec.end(job), 0));
    b.conditions.put(Keys.job(job.spec().id()), job.revision(0));
    b.changes.add(new Change.Delete(Keys.job(job.spec().id())));
    for (int p = live.nextSetBit(0); p >= 0; p = live.nextSetBit(p + 1)) {
      String key = Keys.segment(job.spec().id(), p);
      b.conditions.put(key, job.revision(p));
      b.changes.add(new Change.Delete(key));
    }
    b.parts.add(new Part(job, 0, false, true, List.of()));
    job.inFlight().set(0, job.segments());
    ledger.clean(job);
    return true;
  }

  /**
   * The end doesn't fit as a whole: segments go first, as many as fit, the job's end last. The
   * first segment has to say that they are done before they may go: a leader that came in between
   * would take their tasks for tasks that never ran.
   */
  private boolean addSomeOfEnd(Batch b, Job job, BitSet live) {
    if (live.isEmpty() || b.changes.size() >= b.limit) {
      return false;
    }
    JobId id = job.spec().id();
    if (job.dirty().get(0) && job.revision(0).value() > 0) {
      b.conditions.put(Keys.job(id), job.revision(0));
      b.changes.add(new Change.Put(Keys.job(id), RecordCodec.encode(job, 0), 0));
      b.parts.add(new Part(job, 0, job.cancelled(), false, List.of()));
      job.dirty().clear(0);
      job.inFlight().set(0);
    }
    for (int p = live.nextSetBit(0); p >= 0; p = live.nextSetBit(p + 1)) {
      if (b.changes.size() >= b.limit) {
        break;
      }
      job.merged().set(p);
      b.conditions.put(Keys.segment(id, p), job.revision(p));
      b.changes.add(new Change.Delete(Keys.segment(id, p)));
      b.parts.add(new Part(job, p, false, false, List.of()));
      job.dirty().clear(p);
      job.inFlight().set(p);
    }
    return true;
  }
}
