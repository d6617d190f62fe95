package org.ternhinge.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Consumer;
import org.ternhinge.ledger.Keys;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.Entry;

/**
 * The key-value store of a simulated cluster: its contents, its limits, and which controllers it
 * currently refuses. Each controller accesses it through a {@link SimStoreClient}.
 */
public final class SimKeyValueStore {
  /**
   * Delay after the end of a refusal before watches resume, so that a resumed watch is no longer
   * refused.
   */
  private static final double RESUME_DELAY_S = 0.001;

  private static final String LEADER_KEY = "leader";

  private static final String NODE_PREFIX = "node-";

  /** Field of the term's record that only a claim writes. */
  private static final String CLAIMING_PROCESS = "inc";

  /** Limit on requests per second of all controllers together; 0 if requests are not limited. */
  private double requestRps;

  private final SimClock clock;
  private final InMemoryStore contents;
  private final StoreLimits limits;
  private final MonotonicTime[] refusedUntil;
  private MonotonicTime outageUntil;
  private Consumer<Change> changeListener = change -> {};
  private Term claimedTerm = Term.NONE;

  SimKeyValueStore(SimClock clock, int controllers, SimCluster.Limits limits) {
    this.clock = clock;
    this.contents = new InMemoryStore(clock);
    this.limits = new StoreLimits(clock, limits);
    this.refusedUntil = new MonotonicTime[controllers];
  }

  /** Sets the listener for all changes of applied transactions. */
  void onChange(Consumer<Change> listener) {
    changeListener = listener;
  }

  InMemoryStore contents() {
    return contents;
  }

  // ---- refusals -------------------------------------------------------------------------------

  /**
   * Refuses all requests for a while; leases have their full duration again when the outage ends.
   */
  void outage(double seconds) {
    outageUntil = clock.now().plusSeconds(seconds);
    contents.extendLeases(seconds);
    clock.schedule(seconds, contents::renewAllLeases);
    clock.schedule(seconds + RESUME_DELAY_S, this::resumeWatches);
  }

  /** Refuses one controller only; its leases may expire meanwhile. */
  void refuse(int controller, double seconds) {
    refusedUntil[controller] = clock.now().plusSeconds(seconds);
    clock.schedule(seconds + RESUME_DELAY_S, this::resumeWatches);
  }

  /** Whether a controller is currently refused. */
  boolean refuses(int controller) {
    return isActive(outageUntil) || isActive(refusedUntil[controller]);
  }

  private boolean isActive(MonotonicTime until) {
    return until != null && !until.isBefore(clock.now());
  }

  /** Resumes watches that a fault suspended, with the changes that they missed. */
  void resumeWatches() {
    contents.notifyWatches();
  }

  // ---- limits ---------------------------------------------------------------------------------

  /** Changes the limits from now on, without notice. */
  void setLimits(SimCluster.Limits to) {
    limits.set(to);
  }

  /** Number of transactions rejected because they were too large. */
  public int rejectedTooLarge() {
    return limits.rejectedTooLarge;
  }

  /** Number of transactions rejected because of the rate limit. */
  public int rejectedTooFast() {
    return limits.rejectedTooFast;
  }

  // ---- contents -------------------------------------------------------------------------------

  /** Applies a transaction of a controller. */
  Outcome<Revision> compareAndSwap(int controller, CompareAndSwap swap) {
    return refuses(controller)
        ? Outcome.notApplied(Reason.REFUSED, "503")
        : limits.apply(swap, this::apply);
  }

  private Outcome<Revision> apply(CompareAndSwap swap) {
    Outcome<Revision> outcome = contents.compareAndSwap(swap);
    if (outcome instanceof Outcome.Applied) {
      swap.changes().forEach(this::recordClaim);
      swap.changes().forEach(changeListener);
    }
    return outcome;
  }

  private void recordClaim(Change change) {
    if (change instanceof Change.Put put
        && put.key().equals(Keys.TERM)
        && put.value().has(CLAIMING_PROCESS)) {
      claimedTerm = new Term(put.value().path("n").asLong());
    }
  }

  /** Writes regardless of the current limits, as if written under earlier ones. */
  public void put(List<Change> changes) {
    contents.compareAndSwap(new CompareAndSwap(List.of(), changes));
  }

  /** The value of a key, or null. */
  public JsonNode value(String key) {
    return contents.get(key).entry().map(Entry::value).orElse(null);
  }

  /**
   * Limits the requests per second of all controllers together from now on; before they are not
   * limited.
   */
  public void limitRequests(double requestsPerS) {
    requestRps = requestsPerS;
  }

  /** Limit on requests per second of all controllers together; 0 if requests are not limited. */
  double requestRps() {
    return requestRps;
  }

  /** The term of the latest claim; tokens that its leader reserves later are not claims. */
  Term claimedTerm() {
    return claimedTerm;
  }

  /** The index of the controller in the leader record, or -1. */
  int leader() {
    JsonNode leader = value(LEADER_KEY);
    return leader == null
        ? -1
        : Integer.parseInt(leader.path("node").asText().substring(NODE_PREFIX.length()));
  }
}
