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
 * Controllers with simulated machines, cloud, key-value store and network around them, in virtual
 * time. The rules of the protocol are checked on what the simulated machines ran and on the answers
 * to users, never on state of the controllers.
 */
public final class SimCluster {
  /**
   * The size of a cluster.
   *
   * @param machines that the cloud has of each type, zone and kind
   * @param teamCpus limit of a team, in CPUs
   * @param writeRps limit of the key-value store on changes a second
   */
  public record Size(int nodes, int machines, double teamCpus, double writeRps) {}

  /**
   * Zones and operators' settings of a cluster.
   *
   * @param zones in which machines stand; controllers stand in the first two
   * @param tuning the operators' own settings, the same for all controllers
   */
  public record Site(List<String> zones, Tuning tuning) {
    /** Two zones and default settings. */
    static final Site DEFAULT = new Site(ClusterSettings.ZONES, Tuning.DEFAULT);
  }

  /** Limits of the key-value store on values, transactions and changes a second. */
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

  public final SimClock clock = new SimClock();
  public final Metrics metrics = new Metrics();

  /** Counts of messages and calls. */
  public final MessageCounts counts = new MessageCounts();

  /** The key-value store. */
  public final SimKeyValueStore store;

  /** Faults of the key-value store. */
  public final StoreFaults storeFaults;

  /** Faults of machines that are provisioned. */
  public final BootFaults bootFaults = new BootFaults();

  /** Faults of machines. */
  public final MachineFaults machineFaults;

  /** Faults of the network. */
  public final NetworkFaults networkFaults;

  /** Controller processes. */
  public final SimControllers controllers;

  /** Machines. */
  public final SimMachines machines = new SimMachines(this);

  /** Every job that was submitted. */
  public final JobCatalog jobs = new JobCatalog();

  /** Which tasks run and have run where. */
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

  /** How long a connection to a worker takes to come about. */
  public double connectDelayS;

  /** Creates a cluster of the usual size in which a share of the messages is lost. */
  public SimCluster(long seed, double lossShare) {
    this(seed, lossShare, SMALL);
  }

  /** Creates a cluster in which a share of the messages is lost. */
  public SimCluster(long seed, double lossShare, Size size) {
    this(seed, lossShare, size, null);
  }

  /**
   * A cluster whose settings announce lower limits of the key-value store; controllers keep to the
   * lower of both, since the announced ones come into force without notice.
   *
   * @param lossShare share of messages that are late, and of answers that are lost
   * @param announced the announced limits, or null
   */
  public SimCluster(long seed, double lossShare, Size size, Limits announced) {
    this(seed, lossShare, size, announced, Site.DEFAULT);
  }

  /** A cluster with zones and operators' settings of its own. */
  public SimCluster(long seed, double lossShare, Size size, Limits announced, Site site) {
    this.size = size;
    Limits initialLimits = new Limits(INITIAL_VALUE_KB, INITIAL_CHANGES_PER_SWAP, size.writeRps);
    settings =
        new ClusterSettings(size, initialLimits, announced == null ? initialLimits : initialLimits.lowerOf(announced), site);
    random = new SplittableRandom(seed);
    network = new SimNetwork(clock, random.split());
    network.lossShare = lossShare;
    store = new SimKeyValueStore(clock, size.nodes, initialLimits);
    // A source of its own, so that a seed gives the same day with and without faults.
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

  /** The next random number of the cluster's own source, below the bound. */
  public int nextInt(int bound) {
    return random.nextInt(bound);
  }

  /** The settings of a controller that would start now. */
  public Settings settings(String node) {
    return settings.forNode(node);
  }

  /** Announces limits to the controllers that start from now on. */
  public void announce(Limits announced) {
    settings.announce(announced);
  }

  /** How many controllers there are. */
  public int nodeCount() {
    return size.nodes;
  }

  /** Machines that the cloud has of each type, zone and kind. */
  int machinesOfEach() {
    return size.machines;
  }

  /** The controller in the leader record of the key-value store, or -1. */
  public int leader() {
    return store.leader();
  }

  /** Adds jobs that were done long ago, of which the key-value store holds only the end records. */
  public void storeEndRecords(List<JobSpec> specs) {
    List<Change> ends = new ArrayList<>();
    for (JobSpec spec : specs) {
      jobs.add(spec);
      for (int i = 0; i < spec.tasks(); i++) {
        jobs.complete(new TaskId(spec.id(), i));
      }
      ends.add(
          new Change.Put(
              "f/" + spec.id(), Json.object().put("s", "done").put("n", spec.tasks()), 0));
    }
    store.put(ends);
  }

  // ---- rules ----------------------------------------------------------------------------------

  /** The rules that were broken so far. */
  public List<String> violations() {
    return violations.all();
  }

  /** Starts of tasks whose job's cancellation had been confirmed to its user. */
  public int startsAfterCancel() {
    return cancellations.startsAfterCancel();
  }
}
