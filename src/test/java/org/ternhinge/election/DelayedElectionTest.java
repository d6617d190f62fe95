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
 * Elections with a key-value store that responds late. A node must consider its leadership valid
 * only while the store contains its key.
 */
class DelayedElectionTest {
  private static final int NODES = 3;
  private static final double STEP_S = 0.02;

  /** One-way delay of a healthy store. */
  private static final double FAST_DELAY_S = 0.003;

  private final SimClock clock = new SimClock();
  private final InMemoryStore core = new InMemoryStore(clock);
  private final SplittableRandom random = new SplittableRandom(11);
  private final List<Node> nodes = new ArrayList<>();
  private double oneWayDelayS = FAST_DELAY_S;
  private double jitter;
  private int electionCount;
  private int steps;
  private int stepsLed;

  /** One node with its own connection to the store. */
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
      electionCount++;
    }

    @Override
    public void leadershipLost(LeadershipLoss loss) {}
  }

  private double delayS() {
    return oneWayDelayS * (1 - jitter * random.nextDouble());
  }

  private void start(double delayS, double jitterFraction) {
    oneWayDelayS = delayS;
    jitter = jitterFraction;
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

  /** Advances the clock in steps and checks after each that only the holder of the key is valid. */
  private void run(double seconds) {
    steps = 0;
    stepsLed = 0;
    for (double at = 0; at < seconds; at += STEP_S) {
      clock.runFor(STEP_S);
      steps++;
      for (Node node : nodes) {
        if (node.election.valid()) {
          assertEquals(
              holder(), node.name, "valid at " + clock.seconds() + " s without holding the key");
          stepsLed++;
        }
      }
    }
  }

  private double ledFraction() {
    return (double) stepsLed / steps;
  }

  private Node leader() {
    return nodes.stream().filter(node -> node.election.valid()).findFirst().orElseThrow();
  }

  @ParameterizedTest(name = "one-way delay {0} s, jitter fraction {1}")
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
  void leaderIsElectedAndKeepsLeadership(double delayS, double jitterFraction) {
    start(delayS, jitterFraction);
    run(45);
    assertTrue(electionCount >= 1, "no leader was elected");
    int before = electionCount;
    run(180);
    assertEquals(before, electionCount, "the leader changed");
    assertEquals(1, ledFraction(), 1e-9, "fraction of the time with a valid leadership");
  }

  /** A leader elected with a fast store keeps its lease when the store becomes slow. */
  @ParameterizedTest(name = "one-way delay {0} s, jitter fraction {1}")
  @CsvSource({
    "0.3, 0", "0.8, 0", "1.0, 0", "1.3, 0", "1.8, 0", "2.0, 0",
    "0.3, 0.8", "0.8, 0.8", "1.0, 0.8", "1.3, 0.8", "1.8, 0.8", "2.0, 0.8"
  })
  void leaderKeepsLeadershipWhenStoreBecomesSlow(double delayS, double jitterFraction) {
    start(FAST_DELAY_S, 0);
    run(20);
    assertEquals(1, electionCount);
    oneWayDelayS = delayS;
    jitter = jitterFraction;
    run(120);
    assertEquals(1, electionCount, "the leader changed");
    assertTrue(
        ledFraction() > 0.98, "fraction " + ledFraction() + " of the time with a valid leadership");
  }

  /**
   * The store refuses only the leader's calls while it is slow: the leader's validity must end
   * before its lease.
   */
  @ParameterizedTest(name = "one-way delay {0} s, jitter fraction {1}, refused for {2} s")
  @CsvSource({
    "0.3, 0, 8", "0.8, 0, 8", "1.0, 0, 12", "1.3, 0, 12", "1.8, 0, 12", "2.0, 0, 40",
    "0.3, 0.8, 8", "0.8, 0.8, 8", "1.0, 0.8, 12", "1.3, 0.8, 12", "1.8, 0.8, 12", "2.0, 0.8, 40"
  })
  void refusedLeaderLosesValidityBeforeLeaseExpires(
      double delayS, double jitterFraction, double refusedS) {
    start(delayS, jitterFraction);
    run(45);
    for (int i = 0; i < 4; i++) {
      Node refused = leader();
      refused.store.refuse(true);
      run(refusedS);
      refused.store.refuse(false);
      core.notifyWatches();
      run(60);
      assertTrue(electionCount >= 2 + i, "no other node took over");
      assertEquals(1, nodes.stream().filter(node -> node.election.valid()).count());
    }
  }

  /** Once the store is fast again, time-outs and the next election are short again too. */
  @ParameterizedTest(name = "one-way delay {0} s before")
  @CsvSource({"0.8", "1.3", "1.8", "2.0", "2.5", "4"})
  void timeoutsRecoverWhenStoreIsFastAgain(double delayS) {
    start(delayS, 0);
    run(60);
    oneWayDelayS = FAST_DELAY_S;
    run(30);
    assertEquals(1.0, leader().timeouts.timeoutS(Kind.LEASE), 1e-9);
    Node old = leader();
    old.store.refuse(true);
    run(8);
    assertTrue(leader() != old, "no other node took over");
    assertTrue(
        ledFraction() > 0.9, "fraction " + ledFraction() + " of the time with a valid leadership");
  }

  /**
   * With delays longer than the lease allows, no node leads, and the rate of calls stays normal.
   * The validity gained by one renewal ends before the response to the next arrives.
   */
  @ParameterizedTest(name = "one-way delay {0} s")
  @CsvSource({"2.2", "2.5", "3.5", "6"})
  void noLeaderIsElectedWhenDelayExceedsLease(double delayS) {
    start(delayS, 0);
    run(120);
    assertEquals(0, electionCount);
    for (Node node : nodes) {
      assertTrue(node.store.calls() < 120, node.store.calls() + " calls in 120 s");
    }
  }
}
