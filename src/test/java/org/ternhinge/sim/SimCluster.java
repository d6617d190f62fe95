package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.TaskId;
import org.ternhinge.store.Change;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;

/**
 * Controllers with simulated machines, cloud, key-value store and network around them, in virtual
 * time. The rules of the protocol are checked on what the simulated machines ran and on what users
 * were told, never on anything that the service believes.
 */
public final class SimCluster {
  /**
   * How much of everything there is.
   *
   * @param machines that the cloud has of each type, zone and kind
   * @param teamCpus the limit of a team
   * @param writeRps changes a second that the key-value store takes
   */
  public record Size(int nodes, int machines, double teamCpus, double writeRps) {}

  /**
   * What a cluster has beside its size.
   *
   * @param zones in which machines stand; controllers stand in the first two
   * @param tuning the operators' own settings, the same for all controllers
   */
  public record Site(List<String> zones, Tuning tuning) {
    /** Two zones and no settings of the operators'. */
    static final Site USUAL = new Site(ClusterSettings.ZONES, Tuning.DEFAULT);
  }

  /** Limits of the key-value store on values, transactions and changes a second. */
  public record Limits(double valueKb, int maxChangesPerSwap, double writeRps) {
    Limits lesser(Limits other) {
      return new Limits(
          Math.min(valueKb, other.valueKb),
          Math.min(maxChangesPerSwap, other.maxChangesPerSwap),
          Math.min(writeRps, other.writeRps));
    }
  }

  /** Three controllers and sixteen machines. */
  public static final Size SMALL = new Size(3, 2, 24, 30);

  /** Limits that the key-value store is to have some day, as the settings name them. */
  public static final Limits COMING = new Limits(2, 5, 21);

  private static final double INITIAL_VALUE_KB = 8;
  private static final int INITIAL_TXN_OPS = 16;
  private static final double USER_TIMEOUT_S = 5;
  private static final String NODE_PREFIX = "node-";

  public final SimClock clock = new SimClock();
  public final Metrics metrics = new Metrics();

  /** Counts of messages and calls. */
  public final MessageCounts counts = new MessageCounts();

  /** The key-value store. */
  public final SimKeyValueStore state;

  /** Faults of the key-value store. */
  public final StoreFaults stateFaults;

  /** Faults of machines that are provisioned. */
  public final BootFaults bootFaults = new BootFaults();

  /** Faults of machines. */
  public final MachineFaults machineFaults;

  /** Faults of the network. */
  public final NetworkFaults networkFaults;

  /** Which tasks run and have run where. */
  public final TaskObservations tasks;

  final SplittableRandom random;
  final ClusterSettings settings;
  final SimNetwork network;
  final TreeMap<MachineId, SimWorker> workers = new TreeMap<>();
  final SimStock stock = new SimStock(this);
  final HeartbeatHistory heartbeatHistory = new HeartbeatHistory(this);
  final JobCatalog jobs = new JobCatalog();
  final RuleViolations violations = new RuleViolations();
  final QuotaCheck quota;
  final PlacementCheck placement;
  final CancellationCheck cancellations;
  final TaskEvents events;
  private final Size size;

  /** How long a connection to a worker takes to come about. */
  public double connectS;

  private final SimController[] controllers;

  /** Controllers whose processes are of the version before dependent jobs. */
  private final boolean[] oldVersion;

  /** Creates a cluster of the usual size in which a share of the messages is lost. */
  public SimCluster(long seed, double lossShare) {
    this(seed, lossShare, SMALL);
  }

  /** Creates a cluster in which a share of the messages is lost. */
  public SimCluster(long seed, double lossShare, Size size) {
    this(seed, lossShare, size, null);
  }

  /**
   * A cluster whose settings name coming limits of the key-value store; controllers keep to the
   * lesser of both, since they come without notice.
   *
   * @param lossShare of messages that are late, and of answers that are lost
   * @param coming or null
   */
  public SimCluster(long seed, double lossShare, Size size, Limits coming) {
    this(seed, lossShare, size, coming, Site.USUAL);
  }

  /** A cluster with zones and operators' settings of its own. */
  public SimCluster(long seed, double lossShare, Size size, Limits coming, Site site) {
    this.size = size;
    Limits first = new Limits(INITIAL_VALUE_KB, INITIAL_TXN_OPS, size.writeRps);
    settings =
        new ClusterSettings(size, first, coming == null ? first : first.lesser(coming), site);
    random = new SplittableRandom(seed);
    network = new SimNetwork(clock, random.split());
    network.lossShare = lossShare;
    state = new SimKeyValueStore(clock, size.nodes, first);
    // A source of its own, so that a seed means the same days with and without faults.
    SplittableRandom faultRandom = new SplittableRandom(seed * 31 + 7);
    stateFaults = new StoreFaults(clock, state, faultRandom);
    machineFaults = new MachineFaults(this, faultRandom);
    networkFaults = new NetworkFaults(clock, network, state, size.nodes, faultRandom);
    tasks = new TaskObservations(clock, jobs);
    quota = new QuotaCheck(violations, settings.teams());
    placement = new PlacementCheck(violations);
    cancellations = new CancellationCheck(violations, clock, jobs, tasks);
    DependencyCheck dependencyCheck = new DependencyCheck(violations, jobs, state::value);
    state.onChange(dependencyCheck::changed);
    events =
        new TaskEvents(
            jobs,
            tasks,
            cancellations,
            dependencyCheck,
            List.of(
                new RanTwiceCheck(violations), dependencyCheck, cancellations, placement, quota));
    controllers = new SimController[size.nodes];
    oldVersion = new boolean[size.nodes];
    for (int i = 0; i < size.nodes; i++) {
      startController(i);
    }
  }

  /** The next random number of the cluster's own source, below the bound. */
  public int nextInt(int bound) {
    return random.nextInt(bound);
  }

  /** The settings of a controller that would start now. */
  public Settings settings(String node) {
    return settings.of(node);
  }

  /** Controllers that start from now on have settings that name coming limits. */
  public void announce(Limits coming) {
    settings.announce(coming);
  }

  // ---- controllers ----------------------------------------------------------------------------

  private void startController(int index) {
    controllers[index] = new SimController(this, index);
    controllers[index].start();
  }

  /** Sets whether a controller's processes are of the old version, from its next start on. */
  public void runsOldVersion(int index, boolean old) {
    oldVersion[index] = old;
  }

  boolean runsOldVersion(int index) {
    return oldVersion[index];
  }

  /** Ends a controller's process; another one starts after a while. */
  public void crash(int index, double backAfterS) {
    if (controllers[index] == null) {
      return;
    }
    controllers[index].kill();
    controllers[index] = null;
    clock.after(backAfterS, () -> startController(index));
  }

  /** A controller's process stands still for a while; its clocks run on. */
  public void pause(int index, double seconds) {
    if (controllers[index] != null) {
      controllers[index].pause(seconds);
    }
  }

  /** How many controllers there are. */
  public int nodeCount() {
    return size.nodes;
  }

  /** The controller that the key-value store holds for the leader, or -1. */
  public int leader() {
    return state.leader();
  }

  /** Brings a request to a controller; a dead one never answers. */
  public void deliver(int index, Request request, Consumer<Response> answer) {
    SimController controller = controllers[index];
    if (controller != null) {
      controller.handle(request, answer);
    }
  }

  /** A controller asks another one. */
  void ask(
      SimController from,
      String to,
      Request request,
      double timeoutS,
      Consumer<Optional<Response>> answer) {
    int index = Integer.parseInt(to.substring(NODE_PREFIX.length()));
    CompletableFuture<Outcome<Response>> call =
        networkFaults.call(
            from.zone(),
            NetworkFaults.zoneOf(index),
            () -> networkFaults.cutFromPeers(from.index()) || networkFaults.cutFromPeers(index),
            timeoutS,
            back -> askNow(index, request, back));
    AsyncCalls.whenAnswered(from.guard(call), outcome -> answer.accept(responseOf(outcome)));
  }

  private void askNow(int index, Request request, Consumer<Outcome<Response>> back) {
    SimController asked = controllers[index];
    if (asked != null) {
      asked.handlePeer(request, response -> back.accept(Outcome.applied(response)));
    }
  }

  private static Optional<Response> responseOf(Outcome<Response> outcome) {
    return outcome instanceof Outcome.Applied<Response> applied
        ? Optional.of(applied.value())
        : Optional.empty();
  }

  // ---- requests -------------------------------------------------------------------------------

  /** Sends a request to some controller, as the load balancer would; the answer may be null. */
  public void user(Request request, Consumer<Response> answer) {
    user(random.nextInt(size.nodes), request, answer);
  }

  /** Sends a user's request to one controller; the answer is null where none comes. */
  public void user(int index, Request request, Consumer<Response> answer) {
    CompletableFuture<Outcome<Response>> call =
        networkFaults.call(
            NetworkFaults.REGION,
            NetworkFaults.zoneOf(index),
            () -> false,
            USER_TIMEOUT_S,
            to -> deliver(index, request, response -> to.accept(Outcome.applied(response))));
    AsyncCalls.whenAnswered(call, outcome -> answer.accept(responseOf(outcome).orElse(null)));
  }

  /** Brings a report to a controller; the answer is null where none comes within a second. */
  public Response answerTo(int index, Heartbeat heartbeat) {
    return answerTo(index, "POST", "/agent/beat", Json.bytes(heartbeat.write()));
  }

  /** Brings a request to a controller; the answer is null where none comes within a second. */
  public Response answerTo(int index, String method, String path, byte[] body) {
    List<Response> answers = new ArrayList<>();
    deliver(index, new Request(method, path, body), answers::add);
    clock.runFor(1);
    return answers.isEmpty() ? null : answers.get(0);
  }

  // ---- jobs -----------------------------------------------------------------------------------

  /** A job without dependencies is to be submitted. */
  public void know(JobSpec spec) {
    know(spec, List.of());
  }

  /** A job is to be submitted that names others, which are known by now. */
  public void know(JobSpec spec, List<JobId> named) {
    jobs.add(spec, named);
  }

  /** Jobs that were done long ago: the key-value store holds their ends, nobody remembers them. */
  public void wasDone(List<JobSpec> specs) {
    List<Change> ends = new ArrayList<>();
    for (JobSpec spec : specs) {
      know(spec);
      for (int i = 0; i < spec.tasks(); i++) {
        finish(spec, i);
      }
      ends.add(
          new Change.Put(
              "f/" + spec.id(), Json.object().put("s", "done").put("n", spec.tasks()), 0));
    }
    state.put(ends);
  }

  /** A job was submitted with a mistake: its tasks fail on every machine. */
  public void failsEverywhere(JobId id) {
    jobs.markFaulty(id);
  }

  /** A task was completed before the cluster began. */
  public void finish(JobSpec spec, int index) {
    jobs.complete(new TaskId(spec.id(), index));
  }

  /** The jobs that a job depends on, directly or through others. */
  public Set<JobId> dependencies(JobId id) {
    return jobs.dependencies(id);
  }

  /** How many tasks of a job are completed. */
  public int completedTasks(JobId id) {
    return jobs.completedTasks(id);
  }

  /** Whether every task of a job is completed. */
  public boolean allCompleted(JobId id) {
    return jobs.allCompleted(id);
  }

  // ---- machines -------------------------------------------------------------------------------

  /** Machines that the cloud has of each type, zone and kind. */
  int machinesOfEach() {
    return size.machines;
  }

  /** Machines that were ever provisioned. */
  public int machinesMade() {
    return stock.machinesMade();
  }

  /** Machines that are provisioned and not up. */
  public List<MachineId> bootingMachines() {
    return stock.booting();
  }

  /** Machines that are up. */
  public List<SimWorker> liveWorkers() {
    return List.copyOf(workers.values());
  }

  /** Whether a machine is up. */
  public boolean isLive(MachineId id) {
    return workers.containsKey(id);
  }

  /** Machines that are up and run a job's tasks, in order. */
  public List<SimWorker> workersOf(JobId id) {
    return tasks.distinctMachinesOf(id).stream()
        .map(workers::get)
        .filter(Objects::nonNull)
        .toList();
  }

  /** Machines that have reported and are gone. */
  public List<MachineId> goneMachines() {
    return heartbeatHistory.machines().stream().filter(id -> !isLive(id)).toList();
  }

  /** What a machine has reported last. */
  public Heartbeat lastHeartbeat(MachineId id) {
    return heartbeatHistory.last(id);
  }

  // ---- rules ----------------------------------------------------------------------------------

  /** The rules that were broken so far. */
  public List<String> violations() {
    return violations.all();
  }

  /** Starts of tasks whose user had been told that their job is cancelled. */
  public int startsAfterCancel() {
    return cancellations.startsAfterCancel();
  }
}
