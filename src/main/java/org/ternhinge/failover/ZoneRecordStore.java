package org.ternhinge.failover;

import java.util.Optional;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.zone.ZoneFailover;
import org.ternhinge.zone.ZoneRecord;

/**
 * Keeps the record of the zones' states in the key-value store. It is read once, when a leadership
 * begins, and written after that whenever a state has changed. Guarded by the controller's lock.
 */
final class ZoneRecordStore {
  /** Seconds for which the record is awaited before tasks are placed without it. */
  private static final double READ_TIMEOUT_S = 2;

  /** Seconds until the record is read again after that has failed. */
  private static final double READ_RETRY_S = 1;

  private final LeadershipContext context;
  private final Clock clock;
  private final ZoneFailover failover;
  private final Runnable onRestored;

  /** Whether the record's revision is known: without it a write would be a conflict. */
  private boolean revisionKnown;

  private boolean writeDue;
  private SteadyTime readDeadline;

  /**
   * Creates a keeper that has not read the record.
   *
   * @param onRestored runs once an earlier leader's record was found and adopted
   */
  ZoneRecordStore(LeadershipContext context, ZoneFailover failover, Runnable onRestored) {
    this.context = context;
    this.clock = context.services().clock();
    this.failover = failover;
    this.onRestored = onRestored;
    this.readDeadline = clock.now();
  }

  /** Reads the record of an earlier leader, again and again until that succeeds. */
  void recover() {
    readDeadline = clock.now().plusSeconds(READ_TIMEOUT_S);
    read();
  }

  /** Whether the record is still being read, and tasks are not to be placed without it. */
  boolean isReadPending() {
    return !revisionKnown && clock.now().isBefore(readDeadline);
  }

  /** A zone's state has changed: the next {@link #writeIfDue} writes the record. */
  void markChanged() {
    writeDue = true;
  }

  /** Writes the record if it has changed and its revision is known. */
  void writeIfDue() {
    if (revisionKnown && writeDue) {
      writeDue = false;
      context
          .writer()
          .write(ZoneRecord.KEY, () -> failover.record(clock.now(), clock.wallMillis()));
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
      context.executor().later(READ_RETRY_S, this::read);
      return;
    }
    Optional<Entry> entry = read.value().entry();
    entry.ifPresent(this::restore);
    revisionKnown = true;
    writeIfDue();
  }

  private void restore(Entry entry) {
    context.writer().setRevision(entry.key(), entry.revision());
    failover.restore(entry.value(), clock.now(), clock.wallMillis());
    onRestored.run();
  }
}
