package org.ternhinge.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Consumer;
import org.ternhinge.ledger.Keys;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.Term;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.Entry;

/**
 * The one key-value store of a simulated cluster: its contents, its limits, and whom it refuses at
 * present. Controllers reach it through a {@link SimStoreClient} each.
 */
public final class SimKeyValueStore {
  /** Longer than the refusal itself, so that a watch that is woken is no longer refused. */
  private static final double AFTER_S = 0.001;

  private static final String LEADER_KEY = "leader";

  private static final String NODE_PREFIX = "node-";

  /** Requests a second that all controllers together may make; 0 where they are not counted. */
  private double requestRps;

  private final SimClock clock;
  private final InMemoryStore contents;
  private final StoreLimits limits;
  private final SteadyTime[] refusedUntil;
  private SteadyTime outageUntil;
  private Consumer<Change> changeListener = change -> {};

  SimKeyValueStore(SimClock clock, int controllers, SimCluster.Limits limits) {
    this.clock = clock;
    this.contents = new InMemoryStore(clock);
    this.limits = new StoreLimits(clock, limits);
    this.refusedUntil = new SteadyTime[controllers];
  }

  /** Passes every change of an applied transaction to a listener. */
  void onChange(Consumer<Change> listener) {
    changeListener = listener;
  }

  InMemoryStore contents() {
    return contents;
  }

  // ---- refusals -------------------------------------------------------------------------------

  /** Refuses everybody for so long; leases have their full time again when it is over. */
  void outage(double seconds) {
    outageUntil = clock.now().plusSeconds(seconds);
    contents.extendLeases(seconds);
    clock.after(seconds, contents::renewAllLeases);
    clock.after(seconds + AFTER_S, this::resumeWatches);
  }

  /** Refuses one controller alone, whose leases may run out meanwhile. */
  void refuse(int controller, double seconds) {
    refusedUntil[controller] = clock.now().plusSeconds(seconds);
    clock.after(seconds + AFTER_S, this::resumeWatches);
  }

  /** Whether a controller is refused now, alone or with all others. */
  boolean refuses(int controller) {
    return lasts(outageUntil) || lasts(refusedUntil[controller]);
  }

  private boolean lasts(SteadyTime until) {
    return until != null && !until.isBefore(clock.now());
  }

  /** Watches that a fault has suspended are answered with the changes that they missed. */
  void resumeWatches() {
    contents.notifyWatches();
  }

  // ---- limits ---------------------------------------------------------------------------------

  /** Changes the limits from now on, without notice. */
  void setLimits(SimCluster.Limits to) {
    limits.set(to);
  }

  /** Transactions that were refused since they were too large. */
  public int rejectedTooLarge() {
    return limits.rejectedTooLarge;
  }

  /** Transactions that were refused since they came too fast. */
  public int rejectedTooFast() {
    return limits.rejectedTooFast;
  }

  // ---- contents -------------------------------------------------------------------------------

  /** A transaction of a controller arrives. */
  Outcome<Revision> compareAndSwap(int controller, CompareAndSwap swap) {
    return refuses(controller)
        ? Outcome.notApplied(Reason.REFUSED, "503")
        : limits.apply(swap, this::apply);
  }

  private Outcome<Revision> apply(CompareAndSwap swap) {
    Outcome<Revision> outcome = contents.compareAndSwap(swap);
    if (outcome instanceof Outcome.Applied) {
      swap.changes().forEach(changeListener);
    }
    return outcome;
  }

  /** Writes whatever the limits are, as it was written under earlier ones. */
  public void put(List<Change> changes) {
    contents.compareAndSwap(new CompareAndSwap(List.of(), changes));
  }

  /** The value of a key, or null. */
  public JsonNode value(String key) {
    return contents.get(key).entry().map(Entry::value).orElse(null);
  }

  /** Controllers keep to so many requests a second from now on; before they are not counted. */
  public void limitRequests(double requestsPerS) {
    requestRps = requestsPerS;
  }

  /** Requests a second that all controllers together may make; 0 where they are not counted. */
  double requestRps() {
    return requestRps;
  }

  /** The highest term that was claimed. */
  Term highestTerm() {
    JsonNode term = value(Keys.TERM);
    return new Term(term == null ? 0 : term.path("n").asLong());
  }

  /** The controller in the leader record, or -1. */
  int leader() {
    JsonNode leader = value(LEADER_KEY);
    return leader == null
        ? -1
        : Integer.parseInt(leader.path("node").asText().substring(NODE_PREFIX.length()));
  }
}
