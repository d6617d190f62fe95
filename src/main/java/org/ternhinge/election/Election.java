package org.ternhinge.election;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.Lock;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Keys;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.Term;
import org.ternhinge.state.Change;
import org.ternhinge.state.Entry;
import org.ternhinge.state.StateStore;
import org.ternhinge.state.Txn;
import org.ternhinge.wire.Json;

/**
 * Leadership. The leader's key hangs on a lease; the term's key does not, and grows with every
 * take-over, so that anything sent under an older term is refused wherever it arrives. Whether the
 * leadership holds is judged from the sending of the last renewal that succeeded, never from a
 * refusal: a node can't tell an outage from its own exclusion.
 */
public final class Election {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);
  private static final double DRIFT = Settings.DRIFT;
  private static final double LOOK_AGAIN_S = 0.5;
  private static final double FOLLOW_S = 15;

  /** In the leader's key; a version that doesn't know the field ignores it. */
  private static final String KNOWS_DEPENDENCIES = "deps";

  /** Hears of changes; called under the lock. */
  public interface Listener {
    void elected(Authority authority);

    void deposed(String why);
  }

  private final String node;
  private final String incarnation;
  private final StateStore store;
  private final Clock clock;
  private final Tuning tuning;
  private final double graceS;
  private final Lock lock;
  private final RandomGenerator random;
  private Listener listener;

  private String leaderNode;
  private boolean leaderKnowsDependencies;
  private Held held;

  public Election(
      String node,
      StateStore store,
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
    this.lock = lock;
    this.random = random;
  }

  public void start(Listener to) {
    listener = to;
    locked(this::look);
  }

  /** The node that leads as far as this one knows, or null. */
  public String leaderNode() {
    return held != null ? node : leaderNode;
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
   * Whether a worker's report may be answered. An outage of the state service stops renewals while
   * nobody else can take over either; answering a while longer keeps running tasks alive. A new
   * leader adds the same while to its wait for silent workers, and workers that have heard a higher
   * term drop the answer.
   */
  public boolean mayAnswer() {
    return held != null && clock.now().isBefore(held.validUntil.plusSeconds(graceS));
  }

  /**
   * How long reports may be answered past the end of validity. Nobody else can confirm a
   * cancellation before this leadership's lease has ended in the state service, which is after its
   * validity has ended here; and a worker's tasks end a lease after the sending of the last report
   * that was answered. So they are gone in time, whatever happens to the state service in between,
   * if
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

  private void locked(Runnable action) {
    lock.lock();
    try {
      action.run();
    } finally {
      lock.unlock();
    }
  }

  private void later(double seconds, Runnable action) {
    clock.after(seconds, () -> locked(action));
  }

  private void look() {
    if (held != null) {
      return;
    }
    store.get(Keys.LEADER, RequestPriority.RENEWAL).whenComplete((o, e) -> locked(() -> looked(o)));
  }

  private void looked(Outcome<StateStore.Read> outcome) {
    if (held != null) {
      return;
    }
    if (!(outcome instanceof Outcome.Applied<StateStore.Read> read)) {
      later(LOOK_AGAIN_S, this::look);
      return;
    }
    if (read.value().entry().isEmpty()) {
      leaderNode = null;
      stand(Revision.NONE);
      return;
    }
    Entry entry = read.value().entry().get();
    String who = entry.value().path("node").asText();
    if (who.equals(node) && !entry.value().path("inc").asText().equals(incarnation)) {
      // The platform runs one process per node and starts the next only after the last has ended,
      // so a key left by an earlier process of this very node can be taken over at once.
      stand(entry.revision());
      return;
    }
    leaderNode = who;
    leaderKnowsDependencies = entry.value().path(KNOWS_DEPENDENCIES).asBoolean();
    follow(entry.revision());
  }

  private void follow(Revision from) {
    store
        .follow(Keys.LEADER, from, FOLLOW_S)
        .whenComplete((o, e) -> locked(() -> followed(from, o)));
  }

  private void followed(Revision from, Outcome<StateStore.Changes> outcome) {
    if (held != null) {
      return;
    }
    if (!(outcome instanceof Outcome.Applied<StateStore.Changes> seen)) {
      later(LOOK_AGAIN_S, this::look);
      return;
    }
    boolean gone = false;
    for (Change.Seen change : seen.value().changes()) {
      if (change.key().equals(Keys.LEADER)) {
        gone = change.value() == null;
        leaderNode = gone ? null : change.value().path("node").asText();
        leaderKnowsDependencies = !gone && change.value().path(KNOWS_DEPENDENCIES).asBoolean();
      }
    }
    if (gone) {
      later(random.nextDouble() * 0.1, this::look);
    } else {
      follow(seen.value().revision().value() > from.value() ? seen.value().revision() : from);
    }
  }

  private void stand(Revision leaderRevision) {
    store
        .get(Keys.TERM, RequestPriority.RENEWAL)
        .whenComplete(
            (o, e) ->
                locked(
                    () -> {
                      if (o instanceof Outcome.Applied<StateStore.Read> read) {
                        Entry term = read.value().entry().orElse(null);
                        long n = term == null ? 0 : term.value().path("n").asLong();
                        Revision rev = term == null ? Revision.NONE : term.revision();
                        grant(leaderRevision, new Term(n + 1), rev);
                      } else {
                        later(LOOK_AGAIN_S, this::look);
                      }
                    }));
  }

  private void grant(Revision leaderRevision, Term term, Revision termRevision) {
    SteadyTime sent = clock.now();
    store
        .grant((long) (tuning.leadershipS() * 1000))
        .whenComplete(
            (o, e) ->
                locked(
                    () -> {
                      if (o instanceof Outcome.Applied<Long> lease) {
                        claim(leaderRevision, term, termRevision, lease.value(), sent);
                      } else {
                        later(LOOK_AGAIN_S, this::look);
                      }
                    }));
  }

  private void claim(
      Revision leaderRevision, Term term, Revision termRevision, long lease, SteadyTime sent) {
    Map<String, Revision> conditions = new LinkedHashMap<>();
    conditions.put(Keys.TERM, termRevision);
    conditions.put(Keys.LEADER, leaderRevision);
    ObjectNode leader = Json.object().put("node", node).put("inc", incarnation);
    leader.put("term", term.value()).put(KNOWS_DEPENDENCIES, true);
    JsonNode termValue = Json.object().put("n", term.value()).put("inc", incarnation);
    List<Change> changes =
        List.of(
            new Change.Put(Keys.TERM, termValue, 0), new Change.Put(Keys.LEADER, leader, lease));
    store
        .txn(new Txn(conditions, changes), RequestPriority.RENEWAL)
        .whenComplete(
            (o, e) ->
                locked(
                    () -> {
                      if (o instanceof Outcome.Applied<Revision> applied) {
                        won(term, applied.value(), lease, sent);
                      } else {
                        // Also an unknown outcome ends here: with its lease revoked, a claim that
                        // is applied late fails or leaves a term that nobody uses.
                        store.revoke(lease);
                        boolean lostRace = o != null && o.isBecause(Reason.CONFLICT);
                        later(lostRace ? 0.05 : LOOK_AGAIN_S, this::look);
                      }
                    }));
  }

  private void won(Term term, Revision termRevision, long lease, SteadyTime sent) {
    held = new Held(term, termRevision, lease);
    held.renewed(sent);
    LOG.info("leading with term {}", term);
    listener.elected(held);
    later(tuning.renewS(), held::renew);
  }

  /** A leadership of this node. */
  private final class Held implements Authority {
    private Term term;
    private Revision termRevision;
    private final long lease;
    private SteadyTime validUntil;

    Held(Term term, Revision termRevision, long lease) {
      this.term = term;
      this.termRevision = termRevision;
      this.lease = lease;
    }

    void renewed(SteadyTime sent) {
      validUntil = sent.plusSeconds(tuning.leadershipS() * (1 - DRIFT) - tuning.marginS());
    }

    void renew() {
      if (held != this) {
        return;
      }
      SteadyTime sent = clock.now();
      store
          .renew(lease)
          .whenComplete(
              (o, e) ->
                  locked(
                      () -> {
                        if (held != this) {
                          return;
                        }
                        if (o instanceof Outcome.Applied<Long>) {
                          renewed(sent);
                          later(tuning.renewS(), this::renew);
                        } else if (o != null && o.isBecause(Reason.NOT_FOUND)) {
                          lost("the lease has ended");
                        } else {
                          later(0.4, this::renew);
                        }
                      }));
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
      return held == this && clock.now().isBefore(validUntil);
    }

    @Override
    public void lost(String why) {
      if (held != this) {
        return;
      }
      LOG.info("term {} is over: {}", term, why);
      held = null;
      leaderNode = null;
      store.revoke(lease);
      listener.deposed(why);
      later(0.2, Election.this::look);
    }
  }
}
