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
 * Keeps the record of the zones' states in the key-value store. It is read once, when a leadership
 * begins, and written after that whenever a state has changed. Guarded by the controller's lock.
 */
final class ZoneRecordKeeper {
  /** Seconds for which the record is awaited before tasks are placed without it. */
  private static final double READ_WAIT_S = 2;

  /** Seconds until the record is read again after that has failed. */
  private static final double READ_RETRY_S = 1;

  private final LeadershipContext context;
  private final Clock clock;
  private final ZoneFailover failover;
  private final Runnable onAdopted;

  /** Whether the record's revision is known: without it a write would be a conflict. */
  private boolean revisionKnown;

  private boolean writeDue;
  private MonotonicTime awaitedUntil;

  /**
   * Creates a keeper that has not read the record.
   *
   * @param onAdopted runs once an earlier leader's record was found and adopted
   */
  ZoneRecordKeeper(LeadershipContext context, ZoneFailover failover, Runnable onAdopted) {
    this.context = context;
    this.clock = context.services().clock();
    this.failover = failover;
    this.onAdopted = onAdopted;
    this.awaitedUntil = clock.now();
  }

  /** Reads the record of an earlier leader, again and again until that succeeds. */
  void recover() {
    awaitedUntil = clock.now().plusSeconds(READ_WAIT_S);
    read();
  }

  /** Whether the record is still being read, and tasks are not to be placed without it. */
  boolean isAwaited() {
    return !revisionKnown && clock.now().isBefore(awaitedUntil);
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
          .write(ZoneRecord.KEY, () -> failover.record(clock.now(), clock.wallClockMillis()));
    }
  }

  private void read() {
    context
        .executor()
        .whenAnswered(
            context.services().store().get(ZoneRecord.KEY, RequestPriority.ATTEMPT),
            this::completed);
  }

  private void completed(Outcome<KeyValueStore.ReadResult> outcome) {
    if (!(outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> read)) {
      context.executor().later(READ_RETRY_S, this::read);
      return;
    }
    Optional<Entry> entry = read.value().entry();
    entry.ifPresent(this::adopt);
    revisionKnown = true;
    writeIfDue();
  }

  private void adopt(Entry entry) {
    context.writer().setRevision(entry.key(), entry.revision());
    failover.restore(entry.value(), clock.now(), clock.wallClockMillis());
    onAdopted.run();
  }
}
