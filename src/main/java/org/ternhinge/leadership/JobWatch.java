package org.ternhinge.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerLoader;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.round.ArrivalRates;
import org.ternhinge.store.Change;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.wire.WireException;

/**
 * Takes new jobs into the ledger: those that other nodes accepted, which come by the key-value
 * store's watch, and those that this node accepted. A job is taken in once, whichever way it comes
 * first. Guarded by the controller's lock.
 */
final class JobWatch {
  private static final Logger LOG = LoggerFactory.getLogger(JobWatch.class);

  /** Seconds that the key-value store may hold a watch request back while there is nothing new. */
  private static final double WATCH_S = 20;

  /** Seconds until a watch request that failed is made again. */
  private static final double RETRY_S = 0.3;

  private final KeyValueStore store;
  private final Authority authority;
  private final LeadershipExecutor executor;
  private final Clock clock;
  private final Ledger ledger;
  private final LedgerWriter writer;
  private final MachineRegistry machines;
  private final ArrivalRates arrivalRates;
  private final DependencyResolver dependencyResolver;
  private final RoundTrigger rounds;

  /** What the ledger was loaded at, and up to where changes have been seen since. */
  private Revision loadedAt;

  private Revision watchedTo;

  JobWatch(
      ControllerServices services,
      Authority authority,
      LeadershipExecutor executor,
      Ledger ledger,
      LedgerWriter writer,
      MachineRegistry machines,
      ArrivalRates arrivalRates,
      DependencyResolver dependencyResolver,
      RoundTrigger rounds) {
    this.store = services.store();
    this.clock = services.clock();
    this.authority = authority;
    this.executor = executor;
    this.ledger = ledger;
    this.writer = writer;
    this.machines = machines;
    this.arrivalRates = arrivalRates;
    this.dependencyResolver = dependencyResolver;
    this.rounds = rounds;
  }

  /** The ledger holds every job as of this revision; from here on jobs may be taken in. */
  void loaded(Revision revision) {
    loadedAt = revision;
    watchedTo = revision;
  }

  /** Follows the changes after the load, and goes on doing so. */
  void watch() {
    executor.whenAnswered(store.watch(Keys.JOBS, watchedTo, WATCH_S), this::answered);
  }

  private void answered(Outcome<KeyValueStore.Changes> outcome) {
    if (outcome instanceof Outcome.Applied<KeyValueStore.Changes> applied) {
      takeIn(applied.value());
      watch();
    } else if (outcome != null
        && (outcome.isBecause(Reason.TOO_OLD) || outcome.isBecause(Reason.TOO_LARGE))) {
      // The next leadership's recovery reads all that was missed, page by page.
      authority.lost("the watch fell behind");
    } else {
      executor.later(RETRY_S, this::watch);
    }
  }

  private void takeIn(KeyValueStore.Changes changes) {
    for (Change.Seen change : changes.changes()) {
      takeIn(change);
    }
    if (changes.revision().value() > watchedTo.value()) {
      watchedTo = changes.revision();
    }
  }

  private void takeIn(Change.Seen change) {
    boolean laterSegment = change.key().indexOf('/', Keys.JOBS.length()) >= 0;
    if (change.value() == null || laterSegment) {
      return;
    }
    JobId id = new JobId(change.key().substring(Keys.JOBS.length()));
    if (isKnown(id)) {
      return;
    }
    adopt(change.key(), change.value(), change.revision());
  }

  private void adopt(String key, JsonNode value, Revision created) {
    try {
      adopt(LedgerLoader.read(value, created, clock.now()), created);
    } catch (WireException | IllegalArgumentException e) {
      LOG.error("job record {} is unreadable: {}", key, e.getMessage());
    }
  }

  private boolean isKnown(JobId id) {
    return ledger.job(id) != null || ledger.ended(id) != null;
  }

  /**
   * Takes in a job whose record was just created, here or by another node. A record from before the
   * load was part of it, or had ended by then: the answer to its acceptance may come late, and must
   * not bring an ended job back.
   */
  void adopt(Job job, Revision created) {
    JobId id = job.spec().id();
    if (created.compareTo(loadedAt) <= 0 || isKnown(id)) {
      return;
    }
    ledger.adopt(job);
    LOG.debug("accepted {} of {}", id, job.spec().jobClass());
    arrivalRates.saw(job.spec(), clock.now());
    refreshRaisedPriorities();
    dependencyResolver.pump();
    writer.pump();
    rounds.requestRound();
  }

  /** Jobs that the new one waits for may have taken over its priority. */
  private void refreshRaisedPriorities() {
    for (Job raised : ledger.dependencies().takeRaised()) {
      for (Attempt attempt : raised.openAttempts()) {
        machines.findOrAdd(attempt.machine(), clock.now()).invalidateView();
      }
    }
  }
}
