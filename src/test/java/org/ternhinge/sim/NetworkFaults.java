package org.ternhinge.sim;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;

/** Faults of the network between controllers, zones and the region: partitions and slow links. */
public final class NetworkFaults {
  /** The location of users, the cloud and the key-value store, which belong to no zone. */
  static final String REGION = null;

  /** Delay after the end of a partition at which queued messages arrive, in seconds. */
  private static final double DELIVERY_AFTER_PARTITION_S = 0.01;

  private static final double RESUME_WATCHES_AFTER_S = 0.001;

  private final SimClock clock;
  private final SimNetwork network;
  private final SimKeyValueStore store;
  private final RandomGenerator random;
  private final MonotonicTime[] isolatedFromWorkersUntil;
  private final MonotonicTime[] isolatedFromPeersUntil;
  private String isolatedZone;
  private MonotonicTime zoneIsolatedUntil;
  private MonotonicTime partitionedUntil;

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
    this.isolatedFromWorkersUntil = new MonotonicTime[controllers];
    this.isolatedFromPeersUntil = new MonotonicTime[controllers];
  }

  private MonotonicTime fromNow(double seconds) {
    return clock.now().plusSeconds(seconds);
  }

  private boolean isActive(MonotonicTime until) {
    return until != null && clock.now().isBefore(until);
  }

  /** Like {@link #isActive}, but includes the end of the interval. */
  private boolean isActiveInclusive(MonotonicTime until) {
    return until != null && !until.isBefore(clock.now());
  }

  // ---- controllers ----------------------------------------------------------------------------

  /** Isolates a controller from all workers. */
  public void isolateFromWorkers(int controller, double seconds) {
    isolatedFromWorkersUntil[controller] = fromNow(seconds);
  }

  boolean isIsolatedFromWorkers(int controller) {
    return isActiveInclusive(isolatedFromWorkersUntil[controller]);
  }

  /**
   * Isolates a controller from the key-value store and the other controllers, but not from its
   * workers.
   */
  public void isolate(int controller, double seconds) {
    store.refuse(controller, seconds);
    isolatedFromPeersUntil[controller] = fromNow(seconds);
  }

  boolean isIsolatedFromPeers(int controller) {
    return isActiveInclusive(isolatedFromPeersUntil[controller]);
  }

  // ---- links ----------------------------------------------------------------------------------

  /** Sets the maximum message delay in either direction from now on; 0 restores fast links. */
  public void slowLinks(double seconds) {
    network.maxLinkDelayS = seconds;
  }

  /** Makes partitions drop messages from now on instead of delivering them late. */
  public void dropDuringPartitions() {
    network.queuesDuringPartition = false;
  }

  // ---- zones ----------------------------------------------------------------------------------

  /** The zone of a controller; controllers with odd numbers are in the second zone. */
  public static String zoneOf(int controller) {
    return ClusterSettings.ZONES.get(controller % 2);
  }

  /**
   * Isolates a zone with its controllers. Communication inside the zone is unaffected; messages
   * across its boundary are refused, or arrive in order after the fault ends.
   */
  public void isolateZone(String zone, double seconds) {
    isolatedZone = zone;
    zoneIsolatedUntil = fromNow(seconds);
    clock.schedule(seconds + RESUME_WATCHES_AFTER_S, store::resumeWatches);
  }

  /** Partitions the two zones from each other, while each still reaches the region. */
  public void partitionZones(double seconds) {
    partitionedUntil = fromNow(seconds);
  }

  /** Whether two locations can't reach each other. */
  boolean areDisconnected(String locationA, String locationB) {
    return separatedByZone(locationA, locationB) || separatedByPartition(locationA, locationB);
  }

  private boolean separatedByZone(String locationA, String locationB) {
    return isActive(zoneIsolatedUntil)
        && isolatedZone.equals(locationA) != isolatedZone.equals(locationB);
  }

  private boolean separatedByPartition(String locationA, String locationB) {
    return isActive(partitionedUntil)
        && isZone(locationA)
        && isZone(locationB)
        && !locationA.equals(locationB);
  }

  /** Whether a location is a zone rather than the region. */
  private static boolean isZone(String location) {
    return location != null;
  }

  private double remainingSeconds(String locationA, String locationB) {
    MonotonicTime until =
        separatedByZone(locationA, locationB) ? zoneIsolatedUntil : partitionedUntil;
    return until.secondsSince(clock.now());
  }

  // ---- calls ----------------------------------------------------------------------------------

  /** A call whose request is lost, and which fails by refusal or by timeout. */
  <T> CompletableFuture<Outcome<T>> lostCall(double timeoutS) {
    return network.fail(random.nextBoolean(), timeoutS);
  }

  /**
   * A call between two locations, which may be disconnected by a zone fault.
   *
   * @param isDisconnected whether another fault disconnects them
   * @param work runs at the receiver; it is given the consumer of the response
   */
  <T> CompletableFuture<Outcome<T>> call(
      String locationA,
      String locationB,
      Supplier<Boolean> isDisconnected,
      double timeoutS,
      Consumer<Consumer<Outcome<T>>> work) {
    if (!areDisconnected(locationA, locationB)) {
      return network.call(isDisconnected, timeoutS, work);
    }
    boolean refused = random.nextBoolean();
    if (!refused) {
      clock.schedule(
          remainingSeconds(locationA, locationB) + DELIVERY_AFTER_PARTITION_S,
          () -> work.accept(answer -> {}));
    }
    return network.fail(refused, timeoutS);
  }
}
