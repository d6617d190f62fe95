package org.ternhinge.controller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.RecordCodec;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Outcome;
import org.ternhinge.state.Entry;
import org.ternhinge.state.StateStore;
import org.ternhinge.wire.JobState;

/**
 * Reads a job's state from the state service, which any node may ask. A job that waits for others
 * is cancelled as soon as one before it is, whatever its own record still says, so those before it
 * are read too; where they can't be, nothing is told.
 */
final class JobLookup {
  private static final Logger LOG = LoggerFactory.getLogger(JobLookup.class);

  /** Jobs before one that are read for one answer; the leader knows longer chains from memory. */
  private static final int MOST_READS = 64;

  /**
   * A job as the state service holds it.
   *
   * @param service whether it is known to be a service; the end of a job does not tell
   */
  record Found(JobState state, boolean service) {}

  private record Raw(Found found, List<JobId> waitsFor) {}

  private final StateStore store;

  JobLookup(StateStore store) {
    this.store = store;
  }

  /**
   * Finds a job.
   *
   * @param then gets null when its state can't be told, and empty when the job does not exist
   */
  void find(JobId id, RequestPriority lane, Consumer<Optional<Found>> then) {
    read(
        id,
        lane,
        raw -> {
          if (raw == null || raw.isEmpty() || raw.get().waitsFor.isEmpty()) {
            then.accept(raw == null ? null : raw.map(Raw::found));
          } else {
            new Derivation(id, raw.get(), lane, then).next();
          }
        });
  }

  /** One after the other: whether any job before a waiting one is cancelled. */
  private final class Derivation {
    private final JobId id;
    private final Raw raw;
    private final RequestPriority lane;
    private final Consumer<Optional<Found>> then;
    private final Deque<JobId> todo = new ArrayDeque<>();
    private final Set<JobId> seen = new HashSet<>();

    Derivation(JobId id, Raw raw, RequestPriority lane, Consumer<Optional<Found>> then) {
      this.id = id;
      this.raw = raw;
      this.lane = lane;
      this.then = then;
      add(raw.waitsFor);
    }

    private void add(List<JobId> ids) {
      for (JobId before : ids) {
        if (seen.add(before)) {
          todo.add(before);
        }
      }
    }

    void next() {
      if (todo.isEmpty()) {
        then.accept(Optional.of(raw.found));
        return;
      }
      if (seen.size() > MOST_READS) {
        then.accept(null);
        return;
      }
      read(
          todo.poll(),
          lane,
          before -> {
            if (before == null || before.isEmpty()) {
              then.accept(null);
            } else if (before.get().found.state().phase() == JobState.Phase.CANCELLED) {
              JobState cancelled = new JobState(id, JobState.Phase.CANCELLED, 0, 0);
              then.accept(Optional.of(new Found(cancelled, raw.found.service())));
            } else {
              add(before.get().waitsFor);
              next();
            }
          });
    }
  }

  /**
   * A job moves from its record to its end in one transaction, so reading in this order can't miss
   * it.
   */
  private void read(JobId id, RequestPriority lane, Consumer<Optional<Raw>> then) {
    store
        .get(Keys.job(id), lane)
        .whenComplete(
            (o, e) -> {
              if (!(o instanceof Outcome.Applied<StateStore.Read> read)) {
                LOG.debug("{} can't be looked up: {}", id, o);
                then.accept(null);
              } else if (read.value().entry().isPresent()) {
                Entry entry = read.value().entry().get();
                JobState state = RecordCodec.decodeState(id, entry.value());
                boolean service = RecordCodec.isService(entry.value());
                List<JobId> waitsFor = RecordCodec.waitsFor(entry.value());
                then.accept(Optional.of(new Raw(new Found(state, service), waitsFor)));
              } else {
                readEnd(id, lane, then);
              }
            });
  }

  private void readEnd(JobId id, RequestPriority lane, Consumer<Optional<Raw>> then) {
    store
        .get(Keys.end(id), lane)
        .whenComplete(
            (o, e) -> {
              if (o instanceof Outcome.Applied<StateStore.Read> read) {
                then.accept(
                    read.value()
                        .entry()
                        .map(x -> RecordCodec.decodeEnd(id, x.value()))
                        .map(state -> new Raw(new Found(state, false), List.of())));
              } else {
                then.accept(null);
              }
            });
  }
}
