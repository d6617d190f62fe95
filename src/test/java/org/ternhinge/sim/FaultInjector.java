package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ternhinge.http.Request;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.SteadyTime;

/**
 * Troubles that hold messages up or back. They draw from a source of their own, so that a seed
 * means the same days with and without them.
 */
public final class FaultInjector {
  private final SimCluster world;
  private final SplittableRandom random;
  private double lateShare;
  private SteadyTime lateUntil;
  private double slowS;
  private SteadyTime slowUntil;
  private String zoneCut;
  private SteadyTime zoneCutUntil;
  private SteadyTime partedUntil;

  /** Machines whose next report is held back, and for how long. */
  private final Map<MachineId, Double> toHold = new HashMap<>();

  FaultInjector(SimCluster world, long seed) {
    this.world = world;
    this.random = new SplittableRandom(seed * 31 + 7);
  }

  private boolean lasts(SteadyTime until) {
    return until != null && world.clock.now().isBefore(until);
  }

  private SteadyTime in(double seconds) {
    return world.clock.now().plusSeconds(seconds);
  }

  // ---- the state service ----------------------------------------------------------------------

  /** That share of transactions gets no answer and is carried out 2 to 12 s later. */
  public void lateWrites(double share, double seconds) {
    lateShare = share;
    lateUntil = in(seconds);
  }

  /** Seconds by which a transaction at hand is carried out late, or 0. */
  double lateBy() {
    return lasts(lateUntil) && random.nextDouble() < lateShare ? 2 + random.nextDouble() * 10 : 0;
  }

  /** Answers of the state service take from a quarter of that latency to all of it. */
  public void slowState(double seconds, double latencyS) {
    slowS = latencyS;
    slowUntil = in(seconds);
  }

  /** Carries a request out and answers it, both later than usual while the service is slow. */
  void slowly(Runnable work) {
    if (!lasts(slowUntil)) {
      work.run();
      return;
    }
    world.clock.after(slowS * (0.25 + random.nextDouble() * 0.75) / 2, work);
  }

  /**
   * From now on the state service takes less, without notice; what it holds stays readable. Larger
   * transactions are answered 400, faster ones 429.
   */
  public void lowerLimits(double valueKb, int txnOps, double writeRps) {
    world.stateLimits.set(new SimCluster.Limits(valueKb, txnOps, writeRps));
  }

  /** The limits become those that the settings name as coming. */
  public void lowerLimits() {
    world.stateLimits.set(SimCluster.COMING);
  }

  /** Again and again the state service refuses whoever leads by then. */
  public void refuseLeaders(int times, double everyS, double refusedS) {
    for (int i = 0; i < times; i++) {
      world.clock.after(
          i * everyS,
          () -> {
            int leader = world.leader();
            if (leader >= 0) {
              world.cutState(leader, refusedS);
            }
          });
    }
  }

  // ---- machines -------------------------------------------------------------------------------

  private SimWorker someWorker() {
    List<SimWorker> live = world.liveWorkers();
    return live.isEmpty() ? null : live.get(random.nextInt(live.size()));
  }

  /** Reports of all machines of a job reach no controller, while direct commands reach them. */
  public void muteWorkersOf(JobId id, double seconds) {
    for (SimWorker w : world.workersOf(id)) {
      w.muteUntil = in(seconds);
    }
  }

  public void muteWorkers(double share, double seconds) {
    for (SimWorker w : world.liveWorkers()) {
      if (random.nextDouble() < share) {
        w.muteUntil = in(seconds);
      }
    }
  }

  public void muteSomeWorker(double seconds) {
    SimWorker w = someWorker();
    if (w != null) {
      w.muteUntil = in(seconds);
    }
  }

  /** A machine executes nothing for a while; what arrives waits for it. */
  public void hangSomeWorker(double seconds) {
    SimWorker w = someWorker();
    if (w != null) {
      w.hang(seconds);
    }
  }

  public List<SimWorker> hangWorkersOf(JobId id, int most, double seconds) {
    List<SimWorker> hung = new ArrayList<>();
    for (SimWorker w : world.workersOf(id)) {
      if (hung.size() < most) {
        w.hang(seconds);
        hung.add(w);
      }
    }
    return hung;
  }

  /** Some machine's next report is held back and then reaches whoever leads by then. */
  public void holdReport(double seconds) {
    SimWorker w = someWorker();
    if (w != null) {
      holdReport(w.id, seconds);
    }
  }

  public void holdReport(MachineId id, double seconds) {
    toHold.put(id, seconds);
  }

  /** Whether a report is held back; it is delivered when its time has come. */
  boolean heldBack(MachineId id, byte[] report) {
    Double seconds = toHold.remove(id);
    if (seconds == null) {
      return false;
    }
    world.clock.after(
        seconds,
        () -> {
          int leader = world.leader();
          int to = leader >= 0 ? leader : random.nextInt(world.nodeCount());
          world.deliver(to, new Request("POST", "/agent/beat", report), r -> {});
        });
    return true;
  }

  // ---- zones ----------------------------------------------------------------------------------

  /** The zone of a controller; the odd ones stand in the second zone. */
  public static String zoneOf(int node) {
    return node % 2 == 0 ? "east" : "west";
  }

  /**
   * Cuts a zone with its controllers off. Inside all reach each other; what was sent across is
   * refused, or arrives in order once the cut is over.
   */
  public void cutZone(String zone, double seconds) {
    zoneCut = zone;
    zoneCutUntil = in(seconds);
    world.clock.after(seconds + 0.001, world::wakeWatches);
  }

  /** The two zones can't reach each other, while each reaches the region. */
  public void partZones(double seconds) {
    partedUntil = in(seconds);
  }

  /** Whether two places can't reach each other; null is the region, which lies in no zone. */
  boolean apart(String one, String other) {
    return cutOff(one, other) || parted(one, other);
  }

  private boolean cutOff(String one, String other) {
    return lasts(zoneCutUntil) && zoneCut.equals(one) != zoneCut.equals(other);
  }

  private boolean parted(String one, String other) {
    return lasts(partedUntil) && one != null && other != null && !one.equals(other);
  }

  private double endsIn(String one, String other) {
    SteadyTime until = cutOff(one, other) ? zoneCutUntil : partedUntil;
    return until.secondsSince(world.clock.now());
  }

  /** A call that fails by refusal or by silence, its request being lost. */
  <T> CompletableFuture<Outcome<T>> mute(double timeoutS) {
    return world.net.fail(random.nextBoolean(), timeoutS);
  }

  /** A call between two places, which a cut zone may part. */
  <T> CompletableFuture<Outcome<T>> call(
      String one,
      String other,
      Supplier<Boolean> cut,
      double timeoutS,
      Consumer<Consumer<Outcome<T>>> work) {
    if (!apart(one, other)) {
      return world.net.call(cut, timeoutS, work);
    }
    boolean refused = random.nextBoolean();
    if (!refused) {
      world.clock.after(endsIn(one, other) + 0.01, () -> work.accept(o -> {}));
    }
    return world.net.fail(refused, timeoutS);
  }
}
