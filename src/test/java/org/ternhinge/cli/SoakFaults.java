package org.ternhinge.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The faults of a soak run, drawn from its seed: when each begins, how long it lasts and whom it
 * concerns. Two or three may overlap.
 */
final class SoakFaults {
  /** Kinds of faults. */
  enum Kind {
    KILL_LEADER,
    KILL_ANY,
    KILL_ALL,
    KILL_LEADERS_IN_SERIES,
    PAUSE_LEADER,
    PAUSE_ANY,
    CUT_STORE,
    CUT_PEERS,
    CUT_WORKERS,
    CUT_STORE_AND_PEERS,
    CUT_ZONE,
    SLOW_STORE,
    SLOW_PEERS,
    RESET_PEERS,
    RESET_WORKERS,
    REFUSE_LEADER,
    REFUSE_LEADER_THEN_ALL,
    REFUSE_ALL,
    LATE_WRITES,
    LOST_ANSWERS
  }

  /**
   * One fault.
   *
   * @param at seconds after the start of the run
   * @param controller the controller that is concerned, unless it is the leader or all
   */
  record Fault(Kind kind, double at, double seconds, int controller) {}

  private static final int MIN_FAULTS = 6;
  private static final int MAX_FAULTS = 9;
  private static final double WINDOW_S = 24;
  private static final double MIN_S = 1;
  private static final double MAX_S = 8;
  private static final double MAX_RESTART_S = 3;
  private static final double MAX_SLOWNESS_S = 1.2;
  private static final double WITHHELD_SHARE = 0.3;
  private static final int LEADERS_IN_SERIES = 4;
  private static final double SERIES_INTERVAL_S = 2.5;

  /** Until all transactions that were withheld have been applied or given up. */
  private static final double LAST_LATE_WRITE_S = 8;

  private final LoopbackCluster cluster;
  private final LoopbackLinks links;
  private final LoopbackFleet fleet;
  private final List<String> zones;
  private final ScheduledExecutorService timers;
  private final SplittableRandom random;
  private final List<Fault> schedule = new ArrayList<>();

  /** Controllers that were killed and are not yet started again. */
  private final Set<Integer> down = new HashSet<>();

  private volatile boolean ended;
  private volatile String failure = "";

  SoakFaults(
      LoopbackCluster cluster,
      LoopbackLinks links,
      LoopbackFleet fleet,
      List<String> zones,
      ScheduledExecutorService timers,
      SplittableRandom random) {
    this.cluster = cluster;
    this.links = links;
    this.fleet = fleet;
    this.zones = zones;
    this.timers = timers;
    this.random = random;
    draw();
  }

  private void draw() {
    Kind[] kinds = Kind.values();
    int count = MIN_FAULTS + random.nextInt(MAX_FAULTS - MIN_FAULTS + 1);
    for (int i = 0; i < count; i++) {
      schedule.add(
          new Fault(
              kinds[random.nextInt(kinds.length)],
              random.nextDouble() * WINDOW_S,
              MIN_S + random.nextDouble() * (MAX_S - MIN_S),
              random.nextInt(LoopbackCluster.NODES)));
    }
    schedule.sort(Comparator.comparingDouble(Fault::at));
  }

  /** The faults in the order in which they begin. */
  List<Fault> schedule() {
    return Collections.unmodifiableList(schedule);
  }

  /** What went wrong in the stand-ins themselves; empty if nothing did. */
  String failure() {
    return failure;
  }

  /** Schedules all faults and their ends; returns after how many seconds the last has ended. */
  double start() {
    double last = 0;
    for (Fault fault : schedule) {
      after(fault.at(), () -> begin(fault));
      double series = LEADERS_IN_SERIES * SERIES_INTERVAL_S;
      double lasts = fault.kind() == Kind.KILL_LEADERS_IN_SERIES ? series : 2 * fault.seconds();
      last = Math.max(last, fault.at() + lasts + MAX_RESTART_S);
    }
    return last + LAST_LATE_WRITE_S;
  }

  /** Makes sure that no fault lasts. */
  synchronized void end() throws IOException, InterruptedException {
    ended = true;
    links.heal();
    zones.forEach(fleet::heal);
    for (int i = 0; i < LoopbackCluster.NODES; i++) {
      if (down.remove(i)) {
        cluster.restart(i);
      }
      cluster.resume(i);
    }
  }

  /** Whether a controller was killed and is not started again yet. */
  synchronized boolean isDown(int controller) {
    return down.contains(controller);
  }

  private interface Step {
    void run() throws IOException, InterruptedException;
  }

  private void after(double seconds, Step step) {
    var unused =
        timers.schedule(() -> runStep(step), (long) (seconds * 1e3), TimeUnit.MILLISECONDS);
  }

  private void runStep(Step step) {
    try {
      if (!ended) {
        step.run();
      }
    } catch (IOException | InterruptedException | RuntimeException e) {
      failure = "a fault could not be caused: " + e;
    }
  }

  private int leaderOr(int other) {
    int leader = cluster.services().leader();
    return leader < 0 ? other : leader;
  }

  private void begin(Fault fault) {
    int any = fault.controller();
    int leader = leaderOr(any);
    switch (fault.kind()) {
      case KILL_LEADER -> kill(leader, restartDelayS(fault));
      case KILL_ANY -> kill(any, restartDelayS(fault));
      case KILL_ALL -> killAll(restartDelayS(fault));
      case KILL_LEADERS_IN_SERIES -> killLeaders(LEADERS_IN_SERIES, any);
      case PAUSE_LEADER -> pause(leader, fault.seconds());
      case PAUSE_ANY -> pause(any, fault.seconds());
      default -> beginLinkFault(fault, leader);
    }
  }

  private void beginLinkFault(Fault fault, int leader) {
    int any = fault.controller();
    Set<LinkRelay.Direction> directions = directions(fault);
    double seconds = fault.seconds();
    switch (fault.kind()) {
      case CUT_STORE -> cut(List.of(links.toStore(any)), directions, seconds);
      case CUT_PEERS -> cut(links.withPeers(any), directions, seconds);
      case CUT_WORKERS -> cut(List.of(links.fromWorkers(any)), directions, seconds);
      case CUT_STORE_AND_PEERS -> {
        cut(List.of(links.toStore(leader)), directions, seconds);
        cut(links.withPeers(leader), directions, seconds);
      }
      case CUT_ZONE -> cutZone(zones.get(any % zones.size()), seconds);
      case SLOW_STORE -> slow(List.of(links.toStore(any)), fault);
      case SLOW_PEERS -> slow(links.withPeers(leader), fault);
      case RESET_PEERS -> links.withPeers(any).forEach(LinkRelay::reset);
      case RESET_WORKERS -> links.fromWorkers(any).reset();
      default -> beginStoreFault(fault, leader);
    }
  }

  private void beginStoreFault(Fault fault, int leader) {
    LoopbackStoreFaults store = cluster.services().faults();
    double seconds = fault.seconds();
    switch (fault.kind()) {
      case REFUSE_LEADER -> store.refuse(leader, seconds);
      case REFUSE_LEADER_THEN_ALL -> {
        store.refuse(leader, seconds);
        after(MIN_S, () -> store.refuseAll(2 * seconds - MIN_S));
      }
      case REFUSE_ALL -> store.refuseAll(seconds);
      case LATE_WRITES -> store.withholdAnswers(WITHHELD_SHARE, true, seconds);
      case LOST_ANSWERS -> store.withholdAnswers(WITHHELD_SHARE, false, seconds);
      default -> throw new IllegalArgumentException(fault.toString());
    }
  }

  private static double restartDelayS(Fault fault) {
    return MAX_RESTART_S * (fault.seconds() - MIN_S) / (MAX_S - MIN_S);
  }

  private static Set<LinkRelay.Direction> directions(Fault fault) {
    return switch ((int) (fault.seconds() * 1000) % 3) {
      case 0 -> EnumSet.of(LinkRelay.Direction.REQUESTS);
      case 1 -> EnumSet.of(LinkRelay.Direction.RESPONSES);
      default -> EnumSet.allOf(LinkRelay.Direction.class);
    };
  }

  private synchronized void kill(int controller, double restartDelayS) {
    if (!down.add(controller)) {
      return;
    }
    runStep(() -> cluster.kill(controller));
    after(restartDelayS, () -> restart(controller));
  }

  private synchronized void restart(int controller) throws IOException {
    if (down.remove(controller)) {
      cluster.restart(controller);
    }
  }

  private void killAll(double restartDelayS) {
    for (int i = 0; i < LoopbackCluster.NODES; i++) {
      kill(i, restartDelayS);
    }
  }

  private void killLeaders(int count, int other) {
    kill(leaderOr(other), MIN_S);
    if (count > 1) {
      after(SERIES_INTERVAL_S, () -> killLeaders(count - 1, other));
    }
  }

  private synchronized void pause(int controller, double seconds) {
    if (!down.contains(controller)) {
      runStep(() -> cluster.suspend(controller));
      after(seconds, () -> cluster.resume(controller));
    }
  }

  private void cut(List<LinkRelay> relays, Set<LinkRelay.Direction> directions, double seconds) {
    relays.forEach(relay -> relay.partition(directions));
    after(seconds, () -> relays.forEach(LinkRelay::heal));
  }

  private void cutZone(String zone, double seconds) {
    fleet.partition(zone);
    after(seconds, () -> fleet.heal(zone));
  }

  private void slow(List<LinkRelay> relays, Fault fault) {
    double delayS = MAX_SLOWNESS_S * fault.seconds() / MAX_S;
    relays.forEach(relay -> relay.delay(delayS));
    after(fault.seconds(), () -> relays.forEach(relay -> relay.delay(0)));
  }
}
