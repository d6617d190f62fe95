package org.ternhinge.sim;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.SteadyTime;

/** Faults of the network between controllers, zones and the region, and slow links. */
public final class NetworkFaults {
  /** The place of users, the cloud and the key-value store, which lie in no zone. */
  static final String REGION = null;

  /** Delay after a cut at which the messages that it delayed arrive. */
  private static final double AFTER_CUT_S = 0.01;

  private static final double WAKE_AFTER_S = 0.001;

  private final SimClock clock;
  private final SimNetwork network;
  private final SimKeyValueStore store;
  private final RandomGenerator random;
  private final SteadyTime[] cutFromWorkersUntil;
  private final SteadyTime[] cutFromPeersUntil;
  private String zoneCut;
  private SteadyTime zoneCutUntil;
  private SteadyTime partitionedUntil;

  NetworkFaults(
      SimClock clock,
      SimNetwork network,
      SimKeyValueStore store,
      int controllers,
      RandomGenerator random) {
    this.clock = clock;
    this.network = network;
    this.store = store;
    this.random = random;
    this.cutFromWorkersUntil = new SteadyTime[controllers];
    this.cutFromPeersUntil = new SteadyTime[controllers];
  }

  private SteadyTime in(double seconds) {
    return clock.now().plusSeconds(seconds);
  }

  private boolean lasts(SteadyTime until) {
    return until != null && clock.now().isBefore(until);
  }

  /** Like {@link #lasts}, its last moment included. */
  private boolean lastsThrough(SteadyTime until) {
    return until != null && !until.isBefore(clock.now());
  }

  // ---- controllers ----------------------------------------------------------------------------

  /** Cuts a controller off from all workers. */
  public void isolateFromWorkers(int controller, double seconds) {
    cutFromWorkersUntil[controller] = in(seconds);
  }

  boolean isIsolatedFromWorkers(int controller) {
    return lastsThrough(cutFromWorkersUntil[controller]);
  }

  /** Cuts a controller off from the key-value store and the other ones, not from its workers. */
  public void isolate(int controller, double seconds) {
    store.refuse(controller, seconds);
    cutFromPeersUntil[controller] = in(seconds);
  }

  boolean isIsolatedFromPeers(int controller) {
    return lastsThrough(cutFromPeersUntil[controller]);
  }

  // ---- links ----------------------------------------------------------------------------------

  /** From now on each message takes up to so long, in either direction; 0 for quick links. */
  public void slowLinks(double seconds) {
    network.maxLinkDelayS = seconds;
  }

  /** From now on cuts lose what is sent instead of delivering it late. */
  public void dropDuringPartitions() {
    network.queuesDuringPartition = false;
  }

  // ---- zones ----------------------------------------------------------------------------------

  /** The zone of a controller; those with odd numbers stand in the second zone. */
  public static String zoneOf(int controller) {
    return ClusterSettings.ZONES.get(controller % 2);
  }

  /**
   * Cuts a zone with its controllers off. Inside all reach each other; what was sent across is
   * refused, or arrives in order once the cut is over.
   */
  public void isolateZone(String zone, double seconds) {
    zoneCut = zone;
    zoneCutUntil = in(seconds);
    clock.after(seconds + WAKE_AFTER_S, store::resumeWatches);
  }

  /** The two zones can't reach each other, while each reaches the region. */
  public void partitionZones(double seconds) {
    partitionedUntil = in(seconds);
  }

  /** Whether two places can't reach each other. */
  boolean areDisconnected(String one, String other) {
    return isolate(one, other) || partitioned(one, other);
  }

  private boolean isolate(String one, String other) {
    return lasts(zoneCutUntil) && zoneCut.equals(one) != zoneCut.equals(other);
  }

  private boolean partitioned(String one, String other) {
    return lasts(partitionedUntil) && inZone(one) && inZone(other) && !one.equals(other);
  }

  /** Whether a place lies in a zone, and is not the region as a whole. */
  private static boolean inZone(String place) {
    return place != null;
  }

  private double endsIn(String one, String other) {
    SteadyTime until = isolate(one, other) ? zoneCutUntil : partitionedUntil;
    return until.secondsSince(clock.now());
  }

  // ---- calls ----------------------------------------------------------------------------------

  /** A call that fails by refusal or by silence, its request being lost. */
  <T> CompletableFuture<Outcome<T>> lostCall(double timeoutS) {
    return network.fail(random.nextBoolean(), timeoutS);
  }

  /**
   * A call between two places, which a zone's cut may part.
   *
   * @param cut whether another cut parts them
   * @param work what is done where the request arrives, with the way of its answer
   */
  <T> CompletableFuture<Outcome<T>> call(
      String one,
      String other,
      Supplier<Boolean> cut,
      double timeoutS,
      Consumer<Consumer<Outcome<T>>> work) {
    if (!areDisconnected(one, other)) {
      return network.call(cut, timeoutS, work);
    }
    boolean refused = random.nextBoolean();
    if (!refused) {
      clock.after(endsIn(one, other) + AFTER_CUT_S, () -> work.accept(answer -> {}));
    }
    return network.fail(refused, timeoutS);
  }
}
