package org.ternhinge.failover;

import java.util.Optional;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.zone.ZoneFailover;
import org.ternhinge.zone.ZoneRecord;

/**
 * Reads and writes the record of the zones' states in the key-value store. The record is read once,
 * at the start of a leadership, and written after each state change from then on. Guarded by the
 * controller's lock.
 */
final class ZoneRecordStore {
  /** Seconds to wait for the record before tasks are placed without it. */
  private static final double READ_TIMEOUT_S = 2;

  /** Seconds between attempts to read the record. */
  private static final double READ_RETRY_S = 1;

  private final LeadershipContext context;
  private final Clock clock;
  private final ZoneFailover failover;
  private final Runnable onRestored;

  /** Whether the record's revision is known; a write without it would fail with a conflict. */
  private boolean revisionKnown;

  private boolean writeDue;
  private MonotonicTime readDeadline;

  /**
   * Creates a store that has not read the record yet.
   *
   * @param onRestored runs after the record of an earlier leader was restored
   */
  ZoneRecordStore(LeadershipContext context, ZoneFailover failover, Runnable onRestored) {
    this.context = context;
    this.clock = context.services().clock();
    this.failover = failover;
    this.onRestored = onRestored;
    this.readDeadline = clock.now();
  }

  /** Reads the record of an earlier leader, and retries until that succeeds. */
  void recover() {
    readDeadline = clock.now().plusSeconds(READ_TIMEOUT_S);
    read();
  }

  /** Whether the record is still being read and tasks must not be placed yet. */
  boolean isReadPending() {
    return !revisionKnown && clock.now().isBefore(readDeadline);
  }

  /** Marks the record as changed, so that the next {@link #writeIfDue} writes it. */
  void markChanged() {
    writeDue = true;
  }

  /** Writes the record if it has changed and its revision is known. */
  void writeIfDue() {
    if (revisionKnown && writeDue) {
      writeDue = false;
      context
          .writer()
          .write(ZoneRecord.KEY, () -> failover.record(clock.now(), clock.wallClockMillis()));
    }
  }

  private void read() {
    context
        .executor()
        .whenAnswered(
            context.services().store().get(ZoneRecord.KEY, RequestPriority.ATTEMPT),
            this::readCompleted);
  }

  private void readCompleted(Outcome<KeyValueStore.ReadResult> outcome) {
    if (!(outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> read)) {
      context.executor().schedule(READ_RETRY_S, this::read);
      return;
    }
    Optional<Entry> entry = read.value().entry();
    entry.ifPresent(this::restore);
    revisionKnown = true;
    writeIfDue();
  }

  private void restore(Entry entry) {
    context.writer().setRevision(entry.key(), entry.revision());
    failover.restore(entry.value(), clock.now(), clock.wallClockMillis());
    onRestored.run();
  }
}
