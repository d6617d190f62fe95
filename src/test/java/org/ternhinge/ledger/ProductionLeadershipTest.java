package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.ternhinge.ledger.ProductionLiterals.json;
import static org.ternhinge.ledger.ProductionLiterals.text;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Team;
import org.ternhinge.config.Tuning;
import org.ternhinge.election.Election;
import org.ternhinge.model.Term;
import org.ternhinge.sim.DirectStore;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.SimClock;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.wire.WireException;

/** Compatibility of the term and leader records with the version in production. */
class ProductionLeadershipTest {
  private final SimClock clock = new SimClock();
  private final InMemoryStore core = new InMemoryStore(clock);
  private final Ledger ledger = new Ledger(Map.of("red", new Team("red", 0, 0, 0, 0)), 8192, clock);

  private Election election(List<Authority> elected) {
    Election election =
        new Election(
            "node-1",
            new DirectStore(core),
            clock,
            Tuning.DEFAULT,
            10,
            new ReentrantLock(),
            new SplittableRandom(3));
    election.start(
        new Election.Listener() {
          @Override
          public void elected(Authority authority) {
            elected.add(authority);
          }

          @Override
          public void leadershipLost(LeadershipLoss loss) {}
        });
    clock.runFor(1);
    return election;
  }

  private void put(String key, String value, long lease) throws WireException {
    core.compareAndSwap(
        new CompareAndSwap(List.of(), List.of(new Change.Put(key, json(value), lease))));
  }

  private String value(String key) {
    return text(core.get(key).entry().orElseThrow().value());
  }

  /** A claimed term includes the claiming process; a reservation of its leader does not. */
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "| 1",
        "{\"n\":41,\"inc\":\"5c0ffee\"} | 42",
        "{\"n\":7} | 8",
        "{\"n\":1048577} | 1048578"
      })
  void termIsIncrementedByElection(String before, long term) throws WireException {
    if (before != null) {
      put("term", before, 0);
    }
    List<Authority> elected = new ArrayList<>();
    election(elected);
    assertEquals(new Term(term), elected.get(0).term());
    String inc = Long.toHexString(new SplittableRandom(3).nextLong());
    assertEquals("{\"n\":" + term + ",\"inc\":\"" + inc + "\"}", value("term"));
    // The version in production reads the node and the process, and ignores unknown fields.
    assertEquals(
        "{\"node\":\"node-1\",\"inc\":\"" + inc + "\",\"term\":" + term + ",\"deps\":true}",
        value("leader"));
  }

  /**
   * A leader supports dependent jobs only if its record says so; the version in production would
   * drop their dependencies. The first record is written by the version in production, the second
   * by commit d679fcc.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"node\":\"node-2\",\"inc\":\"5c0ffee\",\"term\":3} | false",
        "{\"node\":\"node-2\",\"inc\":\"5c0ffee\",\"term\":3,\"deps\":true} | true"
      })
  void leaderRecordStatesDependencySupport(String leader, boolean supported) throws WireException {
    put("leader", leader, core.grantLease(60_000));
    Election election = election(new ArrayList<>());
    assertEquals(Optional.of("node-2"), election.leaderNode());
    assertEquals(supported, election.leaderSupportsDependencies());
  }

  /** The version in production writes this format when it raises its term, and claims the next. */
  @Test
  void tokensAreReservedInTheFormatOfRaisedTerm() throws WireException {
    List<Authority> elected = new ArrayList<>();
    election(elected);
    LedgerWriter writer =
        new LedgerWriter(
            ledger,
            new DirectStore(core),
            elected.get(0),
            clock,
            new ReentrantLock(),
            16,
            opened -> {});
    writer.reserveTokens(() -> {});
    assertEquals("{\"n\":1048577}", value("term"));
    assertEquals(new Term(1), elected.get(0).term());
    assertEquals(new Term(1048577), elected.get(0).lastToken());
  }

  /** The leadership of another node is detected, whichever version that node runs. */
  @Test
  void otherLeaderIsDetected() throws WireException {
    put("term", "{\"n\":41,\"inc\":\"5c0ffee\"}", 0);
    String leader = "{\"node\":\"node-0\",\"inc\":\"5c0ffee\",\"term\":41}";
    put("leader", leader, core.grantLease(600_000));
    List<Authority> elected = new ArrayList<>();
    Election election = election(elected);
    assertEquals(Optional.of("node-0"), election.leaderNode());
    assertFalse(election.valid());
    assertEquals(List.of(), elected);
    assertEquals(leader, value("leader"));
  }
}
