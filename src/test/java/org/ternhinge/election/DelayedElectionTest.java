package org.ternhinge.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Tuning;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.LeadershipLoss;
import org.ternhinge.sim.DelayedStore;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.SimClock;
import org.ternhinge.store.Entry;
import org.ternhinge.store.ResponseTimeouts;
import org.ternhinge.store.ResponseTimeouts.Kind;

/**
 * Elections over a key-value store that answers late. Whatever happens, a node takes its leadership
 * for valid only while the key-value store holds its key.
 */
class DelayedElectionTest {
  private static final int NODES = 3;
  private static final double STEP_S = 0.02;

  /** Quick as a healthy service is. */
  private static final double QUICK_S = 0.003;

  private final SimClock clock = new SimClock();
  private final InMemoryStore core = new InMemoryStore(clock);
  private final SplittableRandom random = new SplittableRandom(11);
  private final List<Node> nodes = new ArrayList<>();
  private double eachWayS = QUICK_S;
  private double jitter;
  private int elected;
  private int steps;
  private int stepsLed;

  /** One node, with its own way to the service. */
  private final class Node implements Election.Listener {
    private final String name;
    private final ResponseTimeouts timeouts = ResponseTimeouts.of(clock, Tuning.DEFAULT);
    private final DelayedStore store =
        new DelayedStore(clock, core, timeouts, DelayedElectionTest.this::delayS);
    private final Election election;

    Node(String name) {
      this.name = name;
      this.election =
          new Election(name, store, clock, Tuning.DEFAULT, 10, new ReentrantLock(), random.split());
      election.start(this);
    }

    @Override
    public void elected(Authority authority) {
      elected++;
    }

    @Override
    public void deposed(LeadershipLoss loss) {}
  }

  private double delayS() {
    return eachWayS * (1 - jitter * random.nextDouble());
  }

  private void start(double delayS, double jitterShare) {
    eachWayS = delayS;
    jitter = jitterShare;
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Node("node-" + i));
    }
  }

  private String holder() {
    return core.get(Keys.LEADER)
        .entry()
        .map(Entry::value)
        .map(LeaderRecord::fromJson)
        .map(LeaderRecord::node)
        .orElse("nobody");
  }

  /** Lets time pass, and checks all the while who takes itself for the leader. */
  private void run(double seconds) {
    steps = 0;
    stepsLed = 0;
    for (double at = 0; at < seconds; at += STEP_S) {
      clock.runFor(STEP_S);
      steps++;
      for (Node node : nodes) {
        if (node.election.valid()) {
          assertEquals(holder(), node.name, "valid at " + clock.seconds() + " s without the key");
          stepsLed++;
        }
      }
    }
  }

  private double shareLed() {
    return (double) stepsLed / steps;
  }

  private Node leader() {
    return nodes.stream().filter(node -> node.election.valid()).findFirst().orElseThrow();
  }

  @ParameterizedTest(name = "{0} s each way, {1} of it jitter")
  @CsvSource({
    "0.003, 0",
    "0.3, 0",
    "0.8, 0",
    "1.0, 0",
    "1.3, 0",
    "1.8, 0",
    "0.3, 0.8",
    "0.8, 0.8",
    "1.0, 0.8",
    "1.3, 0.8",
    "1.8, 0.8"
  })
  void aLeaderIsElectedAndStays(double delayS, double jitterShare) {
    start(delayS, jitterShare);
    run(45);
    assertTrue(elected >= 1, "nobody was elected");
    int before = elected;
    run(180);
    assertEquals(before, elected, "the leader did not stay");
    assertEquals(1, shareLed(), 1e-9, "share of the time in which the leadership was valid");
  }

  /** A leader elected over a quick service keeps its lease when the service turns slow. */
  @ParameterizedTest(name = "{0} s each way, {1} of it jitter")
  @CsvSource({
    "0.3, 0", "0.8, 0", "1.0, 0", "1.3, 0", "1.8, 0", "2.0, 0",
    "0.3, 0.8", "0.8, 0.8", "1.0, 0.8", "1.3, 0.8", "1.8, 0.8", "2.0, 0.8"
  })
  void aLeaderStaysWhenTheServiceTurnsSlow(double delayS, double jitterShare) {
    start(QUICK_S, 0);
    run(20);
    assertEquals(1, elected);
    eachWayS = delayS;
    jitter = jitterShare;
    run(120);
    assertEquals(1, elected, "the leader did not stay");
    assertTrue(shareLed() > 0.98, "valid for only " + shareLed() + " of the time");
  }

  /** Refused alone while the service is slow, a leader's validity ends before its lease. */
  @ParameterizedTest(name = "{0} s each way, {1} of it jitter, refused for {2} s")
  @CsvSource({
    "0.3, 0, 8", "0.8, 0, 8", "1.0, 0, 12", "1.3, 0, 12", "1.8, 0, 12", "2.0, 0, 40",
    "0.3, 0.8, 8", "0.8, 0.8, 8", "1.0, 0.8, 12", "1.3, 0.8, 12", "1.8, 0.8, 12", "2.0, 0.8, 40"
  })
  void aRefusedLeaderDoesNotOutliveItsLease(double delayS, double jitterShare, double refusedS) {
    start(delayS, jitterShare);
    run(45);
    for (int i = 0; i < 4; i++) {
      Node refused = leader();
      refused.store.refuse(true);
      run(refusedS);
      refused.store.refuse(false);
      core.notifyWatches();
      run(60);
      assertTrue(elected >= 2 + i, "nobody took over");
      assertEquals(1, nodes.stream().filter(node -> node.election.valid()).count());
    }
  }

  /** Once the service is quick again, so are the time-outs and the next election. */
  @ParameterizedTest(name = "{0} s each way before")
  @CsvSource({"0.8", "1.3", "1.8", "2.0", "2.5", "4"})
  void afterwardsAllIsQuickAgain(double delayS) {
    start(delayS, 0);
    run(60);
    eachWayS = QUICK_S;
    run(30);
    assertEquals(1.0, leader().timeouts.timeoutS(Kind.LEASE), 1e-9);
    Node old = leader();
    old.store.refuse(true);
    run(8);
    assertTrue(leader() != old, "nobody took over");
    assertTrue(shareLed() > 0.9, "led for only " + shareLed() + " of the time");
  }

  /**
   * Beyond what the lease allows, nobody leads, at the usual pace of calls; and no two at once. A
   * renewal whose answer takes so long is over before the next one's answer.
   */
  @ParameterizedTest(name = "{0} s each way")
  @CsvSource({"2.2", "2.5", "3.5", "6"})
  void nobodyLeadsBeyondTheLease(double delayS) {
    start(delayS, 0);
    run(120);
    assertEquals(0, elected);
    for (Node node : nodes) {
      assertTrue(node.store.calls() < 120, node.store.calls() + " calls in 120 s");
    }
  }
}
