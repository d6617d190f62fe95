package org.ternhinge.controller;

import java.util.Optional;
import org.ternhinge.ledger.Dependencies;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.RecordCodec;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Outcome;
import org.ternhinge.state.Entry;
import org.ternhinge.state.StateStore;

/**
 * Reads how jobs ended that others wait for and that ended before this leadership, or too long ago
 * to be remembered. Each is read once however many wait for it, and only a few at a time.
 */
final class DependencyResolver {
  private static final int MOST = 8;

  /** A job that is nowhere yet has just been accepted by another node; the watch will bring it. */
  private static final double AGAIN_S = 0.5;

  private final Leadership lead;
  private final StateStore store;
  private final Ledger ledger;
  private int underWay;

  DependencyResolver(Leadership lead, StateStore store, Ledger ledger) {
    this.lead = lead;
    this.store = store;
    this.ledger = ledger;
  }

  /** Asks for what is not known; called under the lock whenever a job may have come. */
  void pump() {
    Dependencies dependencies = ledger.dependencies();
    while (underWay < MOST) {
      JobId id = dependencies.nextUnresolved();
      if (id == null) {
        return;
      }
      underWay++;
      store
          .get(Keys.end(id), RequestPriority.ENDING)
          .whenComplete((o, e) -> lead.locked(() -> answered(id, o)));
    }
  }

  private void answered(JobId id, Outcome<StateStore.Read> outcome) {
    Optional<Entry> end =
        outcome instanceof Outcome.Applied<StateStore.Read> read
            ? read.value().entry()
            : Optional.empty();
    if (end.isPresent()) {
      underWay--;
      ledger.dependencies().resolved(RecordCodec.decodeEnd(id, end.get().value()));
      lead.dependenciesChanged();
      pump();
      return;
    }
    lead.later(
        AGAIN_S,
        () -> {
          underWay--;
          ledger.dependencies().unknown(id);
          pump();
        });
  }
}
