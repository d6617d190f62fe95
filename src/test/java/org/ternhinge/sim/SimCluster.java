package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.TaskId;
import org.ternhinge.store.Change;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;

/**
 * A cluster of controllers with simulated machines, cloud, key-value store and network in virtual
 * time. Protocol rules are checked against the tasks that the simulated machines ran and the
 * responses to users, never against the internal state of controllers.
 */
public final class SimCluster {
  /**
   * The size of a cluster.
   *
   * @param machines capacity of the cloud in machines of each type, zone and kind
   * @param teamCpus limit of a team, in CPUs
   * @param writeRps limit of the key-value store, in changes per second
   */
  public record Size(int nodes, int machines, double teamCpus, double writeRps) {}

  /**
   * The zones of a cluster and the operators' settings.
   *
   * @param zones the zones of the machines; controllers are in the first two
   * @param tuning the operators' settings, shared by all controllers
   */
  public record Site(List<String> zones, Tuning tuning) {
    /** Two zones and default settings. */
    static final Site DEFAULT = new Site(ClusterSettings.ZONES, Tuning.DEFAULT);
  }

  /** Limits of the key-value store: value size, transaction size and changes per second. */
  public record Limits(double valueKb, int maxChangesPerSwap, double writeRps) {
    Limits lowerOf(Limits other) {
      return new Limits(
          Math.min(valueKb, other.valueKb),
          Math.min(maxChangesPerSwap, other.maxChangesPerSwap),
          Math.min(writeRps, other.writeRps));
    }
  }

  /** Three controllers and sixteen machines. */
  public static final Size SMALL = new Size(3, 2, 24, 30);

  /** Announced limits of the key-value store, lower than the initial ones. */
  public static final Limits ANNOUNCED = new Limits(2, 5, 21);

  private static final double INITIAL_VALUE_KB = 8;
  private static final int INITIAL_CHANGES_PER_SWAP = 16;
  private static final double DEFAULT_IMAGE_FETCH_S = 1;

  public final SimClock clock = new SimClock();
  public final Metrics metrics = new Metrics();

  /** Counts of messages and calls. */
  public final MessageCounts counts = new MessageCounts();

  /** The key-value store. */
  public final SimKeyValueStore store;

  /** Faults of the key-value store. */
  public final StoreFaults storeFaults;

  /** Faults of machine provisioning. */
  public final BootFaults bootFaults = new BootFaults();

  /** Faults of machines. */
  public final MachineFaults machineFaults;

  /** Faults of the network. */
  public final NetworkFaults networkFaults;

  /** Controller processes. */
  public final SimControllers controllers;

  /** Machines. */
  public final SimMachines machines = new SimMachines(this);

  /** All jobs that were submitted. */
  public final JobCatalog jobs = new JobCatalog();

  /** Observed starts and running tasks. */
  public final TaskObservations tasks;

  final SplittableRandom random;
  final ClusterSettings settings;
  final SimNetwork network;
  final RuleViolations violations = new RuleViolations();
  final QuotaCheck quota;
  final PlacementCheck placement;
  final CancellationCheck cancellations;
  final TaskEvents events;
  private final Size size;

  /** Time to establish a connection to a worker, in seconds. */
  public double connectDelayS;

  /** Duration of an image fetch, in seconds; 0 if all machines have all images. */
  public double imageFetchS = DEFAULT_IMAGE_FETCH_S;

  /** Creates a small cluster in which a share of the messages is lost. */
  public SimCluster(long seed, double lossShare) {
    this(seed, lossShare, SMALL);
  }

  /** Creates a cluster in which a share of the messages is lost. */
  public SimCluster(long seed, double lossShare, Size size) {
    this(seed, lossShare, size, null);
  }

  /**
   * Creates a cluster whose settings announce lower limits of the key-value store. Controllers
   * observe the lower of the current and the announced limits, since announced limits take effect
   * without further notice.
   *
   * @param lossShare share of requests that are late, and of responses that are lost
   * @param announced the announced limits, or null
   */
  public SimCluster(long seed, double lossShare, Size size, Limits announced) {
    this(seed, lossShare, size, announced, Site.DEFAULT);
  }

  /** Creates a cluster with the given zones and operators' settings. */
  public SimCluster(long seed, double lossShare, Size size, Limits announced, Site site) {
    this.size = size;
    Limits initialLimits = new Limits(INITIAL_VALUE_KB, INITIAL_CHANGES_PER_SWAP, size.writeRps);
    settings =
        new ClusterSettings(
            size,
            initialLimits,
            announced == null ? initialLimits : initialLimits.lowerOf(announced),
            site);
    random = new SplittableRandom(seed);
    network = new SimNetwork(clock, random.split());
    network.lossShare = lossShare;
    store = new SimKeyValueStore(clock, size.nodes, initialLimits);
    // A separate source, so that a seed produces the same workload with and without faults.
    SplittableRandom faultRandom = new SplittableRandom(seed * 31 + 7);
    storeFaults = new StoreFaults(clock, store, faultRandom);
    machineFaults = new MachineFaults(this, faultRandom);
    networkFaults = new NetworkFaults(clock, network, store, size.nodes, faultRandom);
    tasks = new TaskObservations(clock, jobs);
    quota = new QuotaCheck(violations, settings.teams());
    placement = new PlacementCheck(violations);
    cancellations = new CancellationCheck(violations, clock, jobs, tasks);
    DependencyCheck dependencyCheck = new DependencyCheck(violations, jobs, store::value);
    store.onChange(dependencyCheck::changed);
    events =
        new TaskEvents(
            jobs,
            tasks,
            cancellations,
            dependencyCheck,
            List.of(
                new RanTwiceCheck(violations), dependencyCheck, cancellations, placement, quota));
    controllers = new SimControllers(this, size.nodes);
    controllers.startAll();
  }

  /** The next value below the bound from the cluster's random source. */
  public int nextInt(int bound) {
    return random.nextInt(bound);
  }

  /** The settings that a controller would read if it started now. */
  public Settings settings(String node) {
    return settings.forNode(node);
  }

  /** Announces limits to controllers that start from now on. */
  public void announce(Limits announced) {
    settings.announce(announced);
  }

  /** Number of controllers. */
  public int nodeCount() {
    return size.nodes;
  }

  /** Capacity of the cloud in machines of each type, zone and kind. */
  int machinesOfEach() {
    return size.machines;
  }

  /** The index of the controller in the leader record of the key-value store, or -1. */
  public int leader() {
    return store.leader();
  }

  /** Adds jobs that ended long ago, of which the key-value store holds only the end records. */
  public void storeEndRecords(List<JobSpec> specs) {
    List<Change> ends = new ArrayList<>();
    for (JobSpec spec : specs) {
      jobs.add(spec);
      for (int i = 0; i < spec.tasks(); i++) {
        jobs.markCompleted(new TaskId(spec.id(), i));
      }
      ends.add(
          new Change.Put(
              "f/" + spec.id(), Json.object().put("s", "done").put("n", spec.tasks()), 0));
    }
    store.put(ends);
  }

  // ---- rules ----------------------------------------------------------------------------------

  /** Protocol violations detected so far. */
  public List<String> violations() {
    List<String> all = new ArrayList<>(violations.all());
    all.addAll(metrics.invariants().violations());
    return all;
  }

  /** Number of task starts after the cancellation of the job was confirmed to its user. */
  public int startsAfterCancel() {
    return cancellations.startsAfterCancel();
  }
}
