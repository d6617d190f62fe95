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
import org.ternhinge.model.EventLine;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;
import org.ternhinge.store.Change;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyValueStore;

/**
 * Elects one leader among the nodes through the key-value store. The leader's key is attached to a
 * lease. The term's key is not, and its number increases with every failover, so that receivers
 * reject anything sent under an older term. The validity of a leadership is measured from the time
 * at which the last successful renewal was sent. A refused call does not end it, since a node can't
 * distinguish an outage of the store from being cut off alone.
 *
 * <p>A node reads the leader's key and watches it while another node leads. When the key is
 * removed, the node makes a {@link LeadershipClaim}. All state is guarded by the lock, which
 * callers of public methods must hold, except for {@link #start}.
 */
public final class Election {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);
  private static final double DRIFT = Settings.MAX_CLOCK_DRIFT;

  /** Marker of the log lines on who leads, under which term and for how long. */
  static final String LEADERSHIP_EVENT = "leadership-event";

  /** Delay in seconds before the next attempt after a failed call. */
  private static final double RETRY_S = 0.5;

  /** Delay in seconds before the next attempt after another node won the claim. */
  private static final double RETRY_AFTER_LOST_RACE_S = 0.05;

  /** Delay in seconds before the next attempt after this node lost its leadership. */
  private static final double RETRY_AFTER_LOSS_S = 0.2;

  /**
   * Upper bound in seconds of the random delay before a claim, so that nodes that observe the
   * removal of the leader's key at the same time do not all claim it at once.
   */
  private static final double MAX_CLAIM_DELAY_S = 0.1;

  /** Longest wait of one watch of the leader's key, in seconds. */
  private static final double WATCH_WAIT_S = 15;

  /** Receives the start and the end of this node's leaderships; called under the lock. */
  public interface Listener {
    /** This node has become the leader. */
    void elected(Authority authority);

    /** This node is no longer the leader. */
    void leadershipLost(LeadershipLoss loss);
  }

  private final Candidate candidate;
  private final KeyValueStore store;
  private final Clock clock;
  private final double graceS;
  private final LockedExecutor lockedExecutor;
  private final RandomGenerator random;
  private final ClaimOutcome claimOutcome = new ClaimOutcome();
  private Listener listener;

  /** The record of another node that leads; null if none is known. */
  private LeaderRecord otherLeader;

  /** Whether the last known leader accepts dependent jobs. */
  private boolean leaderSupportsDependencies;

  /** This node's leadership; null while it does not lead. */
  private LocalLeadership localLeadership;

  /**
   * Creates an election in which this node does not take part until {@link #start}.
   *
   * @param node this node's name
   * @param graceS seconds after the end of validity during which heartbeats may still be answered,
   *     from {@link #gracePeriodS}
   * @param lock acquired to handle each response and timer
   * @param random source of the claim delays and of the identifier of this process
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
    this.lockedExecutor = new LockedExecutor(lock);
    this.random = random;
    String incarnation = Long.toHexString(random.nextLong());
    this.candidate = new Candidate(node, incarnation, store, clock, tuning, lockedExecutor);
  }

  /** Starts to take part in elections. */
  public void start(Listener electionListener) {
    listener = electionListener;
    lockedExecutor.execute(this::readLeader);
  }

  /** The name of the leading node, if this node knows it. */
  public Optional<String> leaderNode() {
    if (localLeadership != null) {
      return Optional.of(candidate.node());
    }
    return Optional.ofNullable(otherLeader).map(LeaderRecord::node);
  }

  /**
   * Whether the leader's version accepts dependent jobs, according to its record. Older versions
   * accept such a job but ignore its dependencies.
   */
  public boolean leaderSupportsDependencies() {
    return leaderSupportsDependencies;
  }

  /** Whether this node leads and its lease is guaranteed to be in force. */
  public boolean valid() {
    return localLeadership != null && localLeadership.isValid();
  }

  /**
   * Whether a worker's heartbeat may be answered. During an outage of the key-value store renewals
   * fail, but no other node can take over either; answering heartbeats for a grace period keeps
   * running tasks alive. A new leader waits longer for silent workers by the same period, and
   * workers that have seen a higher term discard the answer.
   */
  public boolean mayAnswerHeartbeats() {
    return localLeadership != null
        && clock.now().isBefore(localLeadership.validUntil().plusSeconds(graceS));
  }

  /**
   * Seconds after the end of validity during which heartbeats may still be answered. No other node
   * can confirm a cancellation before this leadership's lease has expired in the key-value store,
   * which is later than the end of its validity here. A worker's tasks end one worker lease after
   * the last answered heartbeat was sent. The tasks have therefore ended when a cancellation is
   * confirmed, whatever happens to the key-value store in between, if
   *
   * <pre>grace + lease, measured by the slower of the two clocks, + margins &lt;= cancel</pre>
   *
   * <p>The periods of successive leaderships do not accumulate: a later leadership adds its grace
   * period to its own validity, and never applies it to work that it knows to be cancelled.
   */
  public static double gracePeriodS(Tuning tuning, Settings.WorkerTimings workers) {
    double upperBoundS =
        workers.cancelS() - workers.leaseS() * (1 + 2 * DRIFT) - 4 * tuning.marginS();
    return Math.max(0, Math.min(tuning.graceS(), upperBoundS));
  }

  private void scheduleLeaderRead(double seconds) {
    clock.schedule(seconds, lockedExecutor.guarded(this::readLeader));
  }

  private void readLeader() {
    if (localLeadership != null) {
      return;
    }
    lockedExecutor.whenComplete(
        store.get(Keys.LEADER, RequestPriority.RENEWAL), this::handleLeaderRead);
  }

  private void handleLeaderRead(Outcome<KeyValueStore.ReadResult> outcome) {
    if (localLeadership != null) {
      return;
    }
    if (!(outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> read)) {
      scheduleLeaderRead(RETRY_S);
      return;
    }
    Entry entry = read.value().entry().orElse(null);
    if (entry == null) {
      otherLeader = null;
      claim(Revision.NONE);
      return;
    }
    LeaderRecord found = LeaderRecord.fromJson(entry.value());
    if (isFromEarlierProcess(found)) {
      claim(entry.revision());
      return;
    }
    setLeader(found);
    watch(entry.revision());
  }

  /**
   * The platform runs one process per node and starts the next one only after the previous one has
   * ended, so a key left by an earlier process of this node can be claimed at once.
   */
  private boolean isFromEarlierProcess(LeaderRecord found) {
    return found.node().equals(candidate.node())
        && !found.incarnation().equals(candidate.incarnation());
  }

  private void setLeader(LeaderRecord found) {
    otherLeader = found;
    leaderSupportsDependencies = found.supportsDependencies();
  }

  private void clearLeader() {
    otherLeader = null;
    leaderSupportsDependencies = false;
  }

  private void claim(Revision leaderRevision) {
    new LeadershipClaim(candidate, leaderRevision, claimOutcome).start();
  }

  // ---- watch of another leader ----------------------------------------------------------------

  private void watch(Revision from) {
    lockedExecutor.whenComplete(
        store.watch(Keys.LEADER, from, WATCH_WAIT_S), outcome -> handleWatchResult(from, outcome));
  }

  private void handleWatchResult(Revision from, Outcome<KeyValueStore.WatchResult> outcome) {
    if (localLeadership != null) {
      return;
    }
    if (!(outcome instanceof Outcome.Applied<KeyValueStore.WatchResult> observed)) {
      scheduleLeaderRead(RETRY_S);
      return;
    }
    if (applyChanges(observed.value())) {
      scheduleLeaderRead(random.nextDouble() * MAX_CLAIM_DELAY_S);
    } else {
      Revision latest = observed.value().revision();
      watch(latest.compareTo(from) > 0 ? latest : from);
    }
  }

  /** Applies observed changes of the leader's key; returns whether the key is absent after them. */
  private boolean applyChanges(KeyValueStore.WatchResult changes) {
    boolean removed = false;
    for (Change.Observed change : changes.changes()) {
      if (change.key().equals(Keys.LEADER)) {
        removed = change.value() == null;
        if (removed) {
          clearLeader();
        } else {
          setLeader(LeaderRecord.fromJson(change.value()));
        }
      }
    }
    return removed;
  }

  // ---- claims and leaderships of this node ----------------------------------------------------

  private final class ClaimOutcome implements LeadershipClaim.Listener {
    @Override
    public void won(Term term, Revision termRevision, LeadershipLease lease) {
      localLeadership =
          new LocalLeadership(term, termRevision, lease, clock, Election.this::handleLoss);
      LOG.info("leading with term {}", term);
      LOG.info(
          "{}",
          EventLine.of(LEADERSHIP_EVENT, "begun")
              .with("node", candidate.node())
              .with("term", term)
              .with("term_revision", termRevision)
              .withSeconds("valid_s", lease.validUntil().secondsSince(clock.now())));
      listener.elected(localLeadership);
    }

    @Override
    public void failed(boolean lostRace) {
      scheduleLeaderRead(lostRace ? RETRY_AFTER_LOST_RACE_S : RETRY_S);
    }

    @Override
    public void leaseExpired() {
      if (localLeadership != null && localLeadership.leaseExpired()) {
        localLeadership.onLost(new LeadershipLoss.LeaseExpired());
      }
    }
  }

  private void handleLoss(LeadershipLoss loss) {
    LocalLeadership ended = localLeadership;
    LOG.info("leadership with term {} ended: {}", ended.term(), loss.description());
    LOG.info(
        "{}",
        EventLine.of(LEADERSHIP_EVENT, "ended")
            .with("node", candidate.node())
            .with("term", ended.term())
            .with("reason", loss.description())
            .withSeconds("valid_s", ended.validUntil().secondsSince(clock.now())));
    localLeadership = null;
    otherLeader = null;
    ended.releaseLease();
    listener.leadershipLost(loss);
    scheduleLeaderRead(RETRY_AFTER_LOSS_S);
  }
}
