package org.ternhinge.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.LeadershipLoss;
import org.ternhinge.ledger.LedgerLoader;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.store.Change;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.wire.WireException;

/**
 * Watches the key-value store for records of jobs accepted by other nodes, and admits these jobs.
 * Guarded by the controller's lock.
 */
final class JobWatch {
  private static final Logger LOG = LoggerFactory.getLogger(JobWatch.class);

  /** Long-poll timeout in seconds: how long the key-value store waits for changes. */
  private static final double WATCH_S = 20;

  /** Delay in seconds before a failed watch request is retried. */
  private static final double RETRY_S = 0.3;

  private final KeyValueStore store;
  private final Authority authority;
  private final LeadershipExecutor executor;
  private final Clock clock;
  private final JobAdmission admission;

  /** The revision up to which all changes have been processed. */
  private Revision watchedTo;

  JobWatch(LeadershipContext context, JobAdmission admission) {
    this.store = context.services().store();
    this.authority = context.authority();
    this.executor = context.executor();
    this.clock = context.services().clock();
    this.admission = admission;
  }

  /** Watches for changes after a revision until the leadership ends. */
  void start(Revision after) {
    watchedTo = after;
    watch();
  }

  private void watch() {
    executor.whenAnswered(store.watch(Keys.JOBS, watchedTo, WATCH_S), this::handleWatchResult);
  }

  private void handleWatchResult(Outcome<KeyValueStore.WatchResult> outcome) {
    if (outcome instanceof Outcome.Applied<KeyValueStore.WatchResult> applied) {
      process(applied.value());
      watch();
    } else if (outcome.isNotApplied(Reason.TOO_OLD) || outcome.isNotApplied(Reason.TOO_LARGE)) {
      // The recovery of the next leadership reads the missed changes page by page.
      authority.onLost(new LeadershipLoss.WatchFellBehind());
    } else {
      executor.schedule(RETRY_S, this::watch);
    }
  }

  private void process(KeyValueStore.WatchResult changes) {
    for (Change.Observed change : changes.changes()) {
      // A change whose processing fails must end neither the watch nor the processing of others.
      AsyncCalls.runIsolated(() -> process(change));
    }
    if (changes.revision().value() > watchedTo.value()) {
      watchedTo = changes.revision();
    }
  }

  private void process(Change.Observed change) {
    boolean laterSegment = change.key().indexOf('/', Keys.JOBS.length()) >= 0;
    if (change.value() == null || laterSegment) {
      return;
    }
    JobId id = new JobId(change.key().substring(Keys.JOBS.length()));
    if (!admission.isKnown(id)) {
      decodeAndAdmit(change.key(), change.value(), change.revision());
    }
  }

  private void decodeAndAdmit(String key, JsonNode record, Revision created) {
    try {
      admission.admit(LedgerLoader.read(record, created, clock.now()), created);
    } catch (WireException e) {
      LOG.error("job record {} is unreadable: {}", key, e.getMessage());
    }
  }
}
