package org.ternhinge.election;

import org.ternhinge.ledger.Authority;
import org.ternhinge.store.Change;
import org.ternhinge.model.Clock;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyCondition;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.LeadershipLoss;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.Outcome;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Revision;
import org.ternhinge.config.Settings;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.Term;
import org.ternhinge.config.Tuning;


import java.util.List;
import java.util.concurrent.locks.Lock;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.model.Outcome.Reason;

/**
 * Elects one leader among the nodes, by the key-value store. The leader's key hangs on a lease; the
 * term's key does not, and grows with every failover, so that anything sent under an older term is
 * refused wherever it arrives. Whether the leadership holds is judged from the sending of the last
 * renewal that succeeded, never from a refusal: a node can't tell an outage from its own exclusion.
 *
 * <p>A node reads the leader's key and watches it while another leads. Once it is gone, the node
 * reads the last term, asks for a lease, and claims both keys on condition that neither has changed
 * since it read them.
 */
public final class Election {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);
  private static final double DRIFT = Settings.DRIFT;

  /** Pause after a call that failed. */
  private static final double RETRY_S = 0.5;

  /** Pause after another node has claimed the leadership first. */
  private static final double LOST_RACE_S = 0.05;

  /** Pause after an own leadership has ended. */
  private static final double DEPOSED_S = 0.2;

  /** Nodes that see the leader's key vanish together try for it up to so long apart. */
  private static final double SPREAD_S = 0.1;

  /** How long a watch of the leader's key lasts. */
  private static final double WATCH_S = 15;

  /** Hears of this node's leaderships; called under the lock. */
  public interface Listener {
    /** This node leads now. */
    void elected(Authority authority);

    /** This node leads no more. */
    void deposed(LeadershipLoss loss);
  }

  /** What a node has read before it claims the leadership; it must not have changed since. */
  private record Candidacy(Revision leaderRevision, TermRecord lastTerm) {
    Term term() {
      return lastTerm.term().next();
    }
  }

  private final String node;
  private final String incarnation;
  private final KeyValueStore store;
  private final Clock clock;
  private final Tuning tuning;
  private final double graceS;
  private final LockedExecutor locked;
  private final RandomGenerator random;
  private Listener listener;

  /** The other node that leads, or null. */
  private LeaderRecord leader;

  /** Whether the last leader that was seen knows dependent jobs. */
  private boolean leaderKnowsDependencies;

  /** This node's own leadership, or null. */
  private OwnLeadership held;

  /**
   * Creates a candidate that does not take part yet.
   *
   * @param node this node's name
   * @param graceS how long heartbeats may be answered past the end of validity, by {@link #grace}
   * @param lock taken whenever an answer comes
   * @param random spreads the nodes' attempts, and tells this process from others of the same node
   */
  public Election(
      String node,
      KeyValueStore store,
      Clock clock,
      Tuning tuning,
      double graceS,
      Lock lock,
      RandomGenerator random) {
    this.node = node;
    this.incarnation = Long.toHexString(random.nextLong());
    this.store = store;
    this.clock = clock;
    this.tuning = tuning;
    this.graceS = graceS;
    this.locked = new LockedExecutor(lock);
    this.random = random;
  }

  /** Takes part from now on. */
  public void start(Listener to) {
    listener = to;
    locked.execute(this::readLeader);
  }

  /** The node that leads as far as this one knows, or null. */
  public String leaderNode() {
    if (held != null) {
      return node;
    }
    return leader == null ? null : leader.node();
  }

  /**
   * Whether the leader is of a version that knows dependent jobs, by its own word; the version
   * before them would accept one without what it depends on.
   */
  public boolean leaderKnowsDependencies() {
    return leaderKnowsDependencies;
  }

  /** Whether this node leads and its leadership certainly holds. */
  public boolean valid() {
    return held != null && held.valid();
  }

  /**
   * Whether a worker's heartbeat may be answered. An outage of the key-value store stops renewals
   * while nobody else can take over either; answering a while longer keeps running tasks alive. A
   * new leader adds the same while to its wait for silent workers, and workers that have heard a
   * higher term drop the answer.
   */
  public boolean mayAnswer() {
    return held != null && clock.now().isBefore(held.lease.validUntil().plusSeconds(graceS));
  }

  /**
   * How long heartbeats may be answered past the end of validity. Nobody else can confirm a
   * cancellation before this leadership's lease has ended in the key-value store, which is after
   * its validity has ended here; and a worker's tasks end a lease after the sending of the last
   * heartbeat that was answered. So they are gone in time, whatever happens to the key-value store
   * in between, if
   *
   * <pre>grace + lease, by the slower of two clocks, + margins &lt;= cancel</pre>
   *
   * <p>A later leadership adds its own grace to its own validity, never to work that it knows to be
   * cancelled, so several in a row don't add up.
   */
  public static double grace(Tuning tuning, Settings.Workers workers) {
    double most = workers.cancelS() - workers.leaseS() * (1 + 2 * DRIFT) - 4 * tuning.marginS();
    return Math.max(0, Math.min(tuning.graceS(), most));
  }

  private void later(double seconds, Runnable action) {
    clock.after(seconds, locked.guarded(action));
  }

  private void readLeader() {
    if (held != null) {
      return;
    }
    locked.whenAnswered(store.get(Keys.LEADER, RequestPriority.RENEWAL), this::leaderRead);
  }

  private void leaderRead(Outcome<KeyValueStore.ReadResult> outcome) {
    if (held != null) {
      return;
    }
    if (!(outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> read)) {
      later(RETRY_S, this::readLeader);
      return;
    }
    Entry entry = read.value().entry().orElse(null);
    if (entry == null) {
      leader = null;
      readTerm(Revision.NONE);
      return;
    }
    LeaderRecord found = LeaderRecord.fromJson(entry.value());
    if (isOfEarlierProcess(found)) {
      readTerm(entry.revision());
      return;
    }
    noteLeader(found);
    watch(entry.revision());
  }

  /**
   * The platform runs one process per node and starts the next only after the last has ended, so a
   * key left by an earlier process of this very node can be taken over at once.
   */
  private boolean isOfEarlierProcess(LeaderRecord found) {
    return found.node().equals(node) && !found.incarnation().equals(incarnation);
  }

  /** Takes note of who leads; null where nobody does. */
  private void noteLeader(LeaderRecord found) {
    leader = found;
    leaderKnowsDependencies = found != null && found.knowsDependencies();
  }

  // ---- while another node leads ---------------------------------------------------------------

  private void watch(Revision from) {
    locked.whenAnswered(store.watch(Keys.LEADER, from, WATCH_S), outcome -> watched(from, outcome));
  }

  private void watched(Revision from, Outcome<KeyValueStore.WatchResult> outcome) {
    if (held != null) {
      return;
    }
    if (!(outcome instanceof Outcome.Applied<KeyValueStore.WatchResult> seen)) {
      later(RETRY_S, this::readLeader);
      return;
    }
    boolean gone = false;
    for (Change.Observed change : seen.value().changes()) {
      if (change.key().equals(Keys.LEADER)) {
        gone = change.value() == null;
        noteLeader(gone ? null : LeaderRecord.fromJson(change.value()));
      }
    }
    if (gone) {
      later(random.nextDouble() * SPREAD_S, this::readLeader);
    } else {
      Revision now = seen.value().revision();
      watch(now.compareTo(from) > 0 ? now : from);
    }
  }

  // ---- standing for election ------------------------------------------------------------------

  private void readTerm(Revision leaderRevision) {
    locked.whenAnswered(
        store.get(Keys.TERM, RequestPriority.RENEWAL),
        outcome -> termRead(leaderRevision, outcome));
  }

  private void termRead(Revision leaderRevision, Outcome<KeyValueStore.ReadResult> outcome) {
    if (outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> read) {
      TermRecord last = TermRecord.of(read.value().entry().orElse(null));
      requestLease(new Candidacy(leaderRevision, last));
    } else {
      later(RETRY_S, this::readLeader);
    }
  }

  private void requestLease(Candidacy candidacy) {
    SteadyTime sent = clock.now();
    locked.whenAnswered(
        store.grantLease((long) (tuning.leadershipS() * 1000)),
        outcome -> leaseGranted(candidacy, sent, outcome));
  }

  /** Where the answer was lost, a lease may be left that nobody uses; it ends by itself. */
  private void leaseGranted(Candidacy candidacy, SteadyTime sent, Outcome<Long> outcome) {
    if (!(outcome instanceof Outcome.Applied<Long> granted)) {
      later(RETRY_S, this::readLeader);
      return;
    }
    LeadershipLease lease =
        new LeadershipLease(granted.value(), sent, store, clock, tuning, locked, this::leaseEnded);
    // Renewed while the claim is under way: with a slow service its answer would come when the
    // validity that counts from the request is all but over.
    lease.keepAlive();
    claim(candidacy, lease);
  }

  private void claim(Candidacy candidacy, LeadershipLease lease) {
    List<KeyCondition> conditions =
        List.of(
            new KeyCondition(Keys.TERM, candidacy.lastTerm().revision()),
            new KeyCondition(Keys.LEADER, candidacy.leaderRevision()));
    Term term = candidacy.term();
    LeaderRecord claimed = new LeaderRecord(node, incarnation, term, true);
    List<Change> changes =
        List.of(
            new Change.Put(Keys.TERM, TermRecord.claim(term, incarnation), 0),
            new Change.Put(Keys.LEADER, claimed.toJson(), lease.id()));
    locked.whenAnswered(
        store.compareAndSwap(new CompareAndSwap(conditions, changes), RequestPriority.RENEWAL),
        outcome -> claimAnswered(term, lease, outcome));
  }

  private void claimAnswered(Term term, LeadershipLease lease, Outcome<Revision> outcome) {
    if (outcome instanceof Outcome.Applied<Revision> applied && !lease.ended()) {
      won(new OwnLeadership(term, applied.value(), lease));
      return;
    }
    // Also an unknown outcome ends here: with its lease revoked, a claim that is applied late fails
    // or leaves a term that nobody uses.
    lease.release();
    boolean lostRace = outcome != null && outcome.isBecause(Reason.CONFLICT);
    later(lostRace ? LOST_RACE_S : RETRY_S, this::readLeader);
  }

  // ---- while this node leads ------------------------------------------------------------------

  private void won(OwnLeadership leadership) {
    held = leadership;
    LOG.info("leading with term {}", leadership.term());
    listener.elected(leadership);
  }

  private void leaseEnded() {
    if (held != null && held.lease.ended()) {
      held.lost(new LeadershipLoss.LeaseExpired());
    }
  }

  /** A leadership of this node. */
  private final class OwnLeadership implements Authority {
    private Term term;
    private Revision termRevision;
    private final LeadershipLease lease;

    OwnLeadership(Term term, Revision termRevision, LeadershipLease lease) {
      this.term = term;
      this.termRevision = termRevision;
      this.lease = lease;
    }

    @Override
    public Term term() {
      return term;
    }

    @Override
    public Revision termRevision() {
      return termRevision;
    }

    @Override
    public void raised(Term to, Revision revision) {
      term = to;
      termRevision = revision;
    }

    @Override
    public boolean valid() {
      return held == this && clock.now().isBefore(lease.validUntil());
    }

    @Override
    public void lost(LeadershipLoss loss) {
      if (held != this) {
        return;
      }
      LOG.info("term {} is over: {}", term, loss.description());
      held = null;
      leader = null;
      lease.release();
      listener.deposed(loss);
      later(DEPOSED_S, Election.this::readLeader);
    }
  }
}
