package org.ternhinge.election;

import java.util.Optional;
import java.util.concurrent.locks.Lock;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.LeadershipLoss;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;
import org.ternhinge.store.Change;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;

/**
 * Elects one leader among the nodes, by the key-value store. The leader's key hangs on a lease; the
 * term's key does not, and grows with every failover, so that anything sent under an older term is
 * refused wherever it arrives. Whether the leadership holds is judged from the sending of the last
 * renewal that succeeded, never from a refusal: a node can't tell an outage from its own exclusion.
 *
 * <p>A node reads the leader's key and watches it while another leads. Once it is gone, the node
 * makes a {@link LeadershipClaim}. All state is guarded by the lock, which the caller of a public
 * method holds, {@link #start} excepted.
 */
public final class Election {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);
  private static final double DRIFT = Settings.MAX_CLOCK_DRIFT;

  /** Seconds until the next try after a call that failed. */
  private static final double RETRY_S = 0.5;

  /** Seconds until the next try after another node has claimed the leadership first. */
  private static final double LOST_RACE_S = 0.05;

  /** Seconds until the next try after an own leadership has ended. */
  private static final double DEPOSED_S = 0.2;

  /** Nodes that see the leader's key vanish together claim it up to so many seconds apart. */
  private static final double SPREAD_S = 0.1;

  /** Seconds for which a watch of the leader's key lasts. */
  private static final double WATCH_S = 15;

  /** Hears of this node's leaderships; called under the lock. */
  public interface Listener {
    /** This node leads now. */
    void elected(Authority authority);

    /** This node leads no more. */
    void deposed(LeadershipLoss loss);
  }

  private final Candidate candidate;
  private final KeyValueStore store;
  private final Clock clock;
  private final double graceS;
  private final LockedExecutor locked;
  private final RandomGenerator random;
  private final ClaimOutcome claimOutcome = new ClaimOutcome();
  private Listener listener;

  /** The other node that leads; null where none is known. */
  private LeaderRecord leader;

  /** Whether the last leader that was seen accepts dependent jobs. */
  private boolean leaderKnowsDependencies;

  /** This node's own leadership; null while it does not lead. */
  private OwnLeadership own;

  /**
   * Creates a candidate that does not take part yet.
   *
   * @param node this node's name
   * @param graceS seconds for which heartbeats may be answered past the end of validity, by {@link
   *     #grace}
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
    this.store = store;
    this.clock = clock;
    this.graceS = graceS;
    this.locked = new LockedExecutor(lock);
    this.random = random;
    String incarnation = Long.toHexString(random.nextLong());
    this.candidate = new Candidate(node, incarnation, store, clock, tuning, locked);
  }

  /** Takes part from now on. */
  public void start(Listener to) {
    listener = to;
    locked.execute(this::readLeader);
  }

  /** The leading node, as far as this one knows. */
  public Optional<String> leaderNode() {
    if (own != null) {
      return Optional.of(candidate.node());
    }
    return Optional.ofNullable(leader).map(LeaderRecord::node);
  }

  /**
   * Whether the leader's version accepts dependent jobs, as its record says; the version before
   * that would accept one and ignore its dependencies.
   */
  public boolean leaderKnowsDependencies() {
    return leaderKnowsDependencies;
  }

  /** Whether this node leads and its leadership certainly holds. */
  public boolean valid() {
    return own != null && own.valid();
  }

  /**
   * Whether a worker's heartbeat may be answered. An outage of the key-value store stops renewals
   * while nobody else can take over either; answering a while longer keeps running tasks alive. A
   * new leader adds the same time to its wait for silent workers, and workers that have seen a
   * higher term drop the answer.
   */
  public boolean mayAnswer() {
    return own != null && clock.now().isBefore(own.validUntil().plusSeconds(graceS));
  }

  /**
   * Seconds for which heartbeats may be answered past the end of validity. Nobody else can confirm
   * a cancellation before this leadership's lease has ended in the key-value store, which is after
   * its validity has ended here; and a worker's tasks end a lease after the sending of the last
   * heartbeat that was answered. So they are gone in time, whatever happens to the key-value store
   * in between, if
   *
   * <pre>grace + lease, by the slower of two clocks, + margins &lt;= cancel</pre>
   *
   * <p>A later leadership adds its own grace to its own validity, never to work that it knows to be
   * cancelled, so several in a row don't add up.
   */
  public static double grace(Tuning tuning, Settings.WorkerTimings workers) {
    double most = workers.cancelS() - workers.leaseS() * (1 + 2 * DRIFT) - 4 * tuning.marginS();
    return Math.max(0, Math.min(tuning.graceS(), most));
  }

  private void readLeaderAfter(double seconds) {
    clock.after(seconds, locked.guarded(this::readLeader));
  }

  private void readLeader() {
    if (own != null) {
      return;
    }
    locked.whenAnswered(store.get(Keys.LEADER, RequestPriority.RENEWAL), this::handleLeaderRead);
  }

  private void handleLeaderRead(Outcome<KeyValueStore.ReadResult> outcome) {
    if (own != null) {
      return;
    }
    if (!(outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> read)) {
      readLeaderAfter(RETRY_S);
      return;
    }
    Entry entry = read.value().entry().orElse(null);
    if (entry == null) {
      leader = null;
      claim(Revision.NONE);
      return;
    }
    LeaderRecord found = LeaderRecord.fromJson(entry.value());
    if (isOfEarlierProcess(found)) {
      claim(entry.revision());
      return;
    }
    setLeader(found);
    watch(entry.revision());
  }

  /**
   * The platform runs one process per node and starts the next only after the last has ended, so a
   * key left by an earlier process of this very node can be claimed at once.
   */
  private boolean isOfEarlierProcess(LeaderRecord found) {
    return found.node().equals(candidate.node())
        && !found.incarnation().equals(candidate.incarnation());
  }

  private void setLeader(LeaderRecord found) {
    leader = found;
    leaderKnowsDependencies = found.knowsDependencies();
  }

  private void clearLeader() {
    leader = null;
    leaderKnowsDependencies = false;
  }

  private void claim(Revision leaderRevision) {
    new LeadershipClaim(candidate, leaderRevision, claimOutcome).start();
  }

  // ---- while another node leads ---------------------------------------------------------------

  private void watch(Revision from) {
    locked.whenAnswered(
        store.watch(Keys.LEADER, from, WATCH_S), outcome -> handleWatch(from, outcome));
  }

  private void handleWatch(Revision from, Outcome<KeyValueStore.WatchResult> outcome) {
    if (own != null) {
      return;
    }
    if (!(outcome instanceof Outcome.Applied<KeyValueStore.WatchResult> seen)) {
      readLeaderAfter(RETRY_S);
      return;
    }
    if (applyChanges(seen.value())) {
      readLeaderAfter(random.nextDouble() * SPREAD_S);
    } else {
      Revision now = seen.value().revision();
      watch(now.compareTo(from) > 0 ? now : from);
    }
  }

  /** Follows the changes of the leader's key; returns whether it is gone after the last of them. */
  private boolean applyChanges(KeyValueStore.WatchResult changes) {
    boolean gone = false;
    for (Change.Observed change : changes.changes()) {
      if (change.key().equals(Keys.LEADER)) {
        gone = change.value() == null;
        if (gone) {
          clearLeader();
        } else {
          setLeader(LeaderRecord.fromJson(change.value()));
        }
      }
    }
    return gone;
  }

  // ---- claims and own leaderships -------------------------------------------------------------

  private final class ClaimOutcome implements LeadershipClaim.Listener {
    @Override
    public void won(Term term, Revision termRevision, LeadershipLease lease) {
      own = new OwnLeadership(term, termRevision, lease, clock, Election.this::handleLoss);
      LOG.info("leading with term {}", term);
      listener.elected(own);
    }

    @Override
    public void failed(boolean lostRace) {
      readLeaderAfter(lostRace ? LOST_RACE_S : RETRY_S);
    }

    @Override
    public void leaseEnded() {
      if (own != null && own.leaseEnded()) {
        own.lost(new LeadershipLoss.LeaseExpired());
      }
    }
  }

  private void handleLoss(LeadershipLoss loss) {
    OwnLeadership ended = own;
    LOG.info("term {} is over: {}", ended.term(), loss.description());
    own = null;
    leader = null;
    ended.releaseLease();
    listener.deposed(loss);
    readLeaderAfter(DEPOSED_S);
  }
}
