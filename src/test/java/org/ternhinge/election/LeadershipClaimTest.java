package org.ternhinge.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.ternhinge.config.Tuning;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.LeadershipLoss;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;
import org.ternhinge.sim.DirectStore;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.SimClock;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.Entry;
import org.ternhinge.wire.Json;

/** A claim of the leadership, and the state of the leadership that results from it. */
class LeadershipClaimTest {
  private final SimClock clock = new SimClock();
  private final InMemoryStore core = new InMemoryStore(clock);
  private final Candidate candidate =
      new Candidate(
          "node-0",
          "ab",
          new DirectStore(core),
          clock,
          Tuning.DEFAULT,
          new LockedExecutor(new ReentrantLock()));

  private final List<String> failures = new ArrayList<>();
  private final List<LeadershipLoss> losses = new ArrayList<>();
  private LocalLeadership won;
  private int expiredLeases;

  private final class Recorder implements LeadershipClaim.Listener {
    @Override
    public void won(Term term, Revision termRevision, LeadershipLease lease) {
      won = new LocalLeadership(term, termRevision, lease, clock, losses::add);
    }

    @Override
    public void failed(boolean lostRace) {
      failures.add(lostRace ? "lost race" : "failed");
    }

    @Override
    public void leaseExpired() {
      expiredLeases++;
    }
  }

  private void put(String key, long term) {
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(key, Json.object().put("n", term), 0))));
  }

  private void claim(Revision leaderRevision) {
    new LeadershipClaim(candidate, leaderRevision, new Recorder()).start();
    clock.runFor(0.1);
  }

  @Test
  void claimWithUnchangedKeysWinsNextTerm() {
    put(Keys.TERM, 6);
    claim(Revision.NONE);
    assertEquals(new Term(7), won.term());
    Entry term = core.get(Keys.TERM).entry().orElseThrow();
    assertEquals(term.revision(), won.termRevision());
    Entry leader = core.get(Keys.LEADER).entry().orElseThrow();
    assertEquals(
        new LeaderRecord("node-0", "ab", new Term(7), true), LeaderRecord.fromJson(leader.value()));
    assertEquals(List.of(), failures);
  }

  @Test
  void claimFailsWhenAnotherNodeClaimedFirst() {
    put(Keys.LEADER, 1);
    claim(Revision.NONE);
    assertEquals(List.of("lost race"), failures);
    assertEquals(Optional.empty(), core.get(Keys.TERM).entry(), "the term is not incremented");
    clock.runFor(60);
    assertEquals(0, expiredLeases, "the released lease must not be reported as expired");
  }

  /** The leadership after a claim that was applied. */
  @Nested
  class WonLeadership {
    @BeforeEach
    void claimLeadership() {
      claim(Revision.NONE);
    }

    @Test
    void staysValidWhileLeaseIsRenewed() {
      assertTrue(won.isValid());
      clock.runFor(60);
      assertTrue(won.isValid());
      assertEquals(0, expiredLeases);
    }

    @Test
    void keepsItsTermWhenTokensAreReserved() {
      assertEquals(new Term(1), won.lastToken());
      won.onTokensReserved(new Term(20), new Revision(99));
      assertEquals(new Term(1), won.term());
      assertEquals(new Term(20), won.lastToken());
      assertEquals(new Revision(99), won.termRevision());
      assertTrue(won.isValid());
    }

    @Test
    void reportsLossOnce() {
      LeadershipLoss loss = new LeadershipLoss.WatchFellBehind();
      won.onLost(loss);
      won.onLost(new LeadershipLoss.LeaseExpired());
      assertEquals(List.of(loss), losses);
      assertFalse(won.isValid());
    }

    @Test
    void releasedLeaseRemovesLeaderKey() {
      won.releaseLease();
      assertEquals(Optional.empty(), core.get(Keys.LEADER).entry());
      assertTrue(core.get(Keys.TERM).entry().isPresent(), "the term must be kept");
    }
  }
}
