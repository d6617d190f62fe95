package org.ternhinge.leadership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.attempt.CommandDispatcher;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Team;
import org.ternhinge.config.Tuning;
import org.ternhinge.failover.ZoneControl;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerLoader;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.ledger.MachineAttributes;
import org.ternhinge.ledger.RecordCodec;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.ReportedTaskCounts;
import org.ternhinge.machine.ReportedTasks;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Resources;
import org.ternhinge.model.Revision;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.Term;
import org.ternhinge.sim.DirectStore;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.Specs;
import org.ternhinge.sim.StoreCore;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.term.BucketedRecords;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;
import org.ternhinge.worker.Workers;

/**
 * The parts of a leadership around the one under test: a real ledger and writer over a key-value
 * store at hand, workers that never answer, and a count of the rounds asked for.
 */
public final class LeadershipFixture {
  public static final Settings.Workers WORKER_SETTINGS = new Settings.Workers(2, 10, 30, 5, 20);
  private static final int VALUE_BYTES = 8 * 1024;

  public final SimClock clock = new SimClock();
  public final StoreCore core = new StoreCore(clock);
  public final TestAuthority authority = new TestAuthority();
  public final HeldStore store = new HeldStore(new DirectStore(core));
  public final List<Command> sent = new ArrayList<>();
  private final ReentrantLock lock = new ReentrantLock();
  private final Map<String, Team> teams = Map.of("red", new Team("red", 0, 0, 0, 0));
  public final LeadershipExecutor executor;
  public final Ledger ledger;
  public final LedgerWriter writer;
  public final MachineRegistry machines;
  public final CommandDispatcher dispatcher;
  public final AttemptLifecycle attempts;
  public int roundsRequested;

  /** Runs after each write, before the starts are sent. */
  public Runnable onWritten = () -> {};

  public LeadershipFixture() {
    core.compareAndSwap(
        new CompareAndSwap(
            Map.of(), List.of(new Change.Put(Keys.TERM, Json.object().put("n", 1), 0))));
    authority.revision = core.get(Keys.TERM).entry().orElseThrow().revision();
    executor = new LeadershipExecutor(clock, lock);
    ledger = new Ledger(teams, VALUE_BYTES, clock);
    writer = new LedgerWriter(ledger, store, authority, clock, lock, 16, this::written);
    machines = new MachineRegistry(clock.now().plusSeconds(WORKER_SETTINGS.leaseS()));
    ControllerServices services = services(null);
    dispatcher =
        new CommandDispatcher(
            executor, (machine, heartbeat, isHeartbeat, now) -> true, services, authority, ledger);
    attempts =
        new AttemptLifecycle(
            ledger, writer, machines, dispatcher, () -> roundsRequested++, clock, ZoneControl.NONE);
  }

  /** What a leadership is built upon, with a cloud. */
  public ControllerServices services(Cloud cloud) {
    return new ControllerServices(
        settings(teams),
        Tuning.DEFAULT,
        store,
        cloud,
        new SilentWorkers(),
        clock,
        lock,
        Runnable::run,
        new Metrics());
  }

  /** Records under a prefix that hold many small entries each. */
  public BucketedRecords bucketedRecords(String prefix) {
    return new BucketedRecords(writer, prefix, VALUE_BYTES);
  }

  private static Settings settings(Map<String, Team> teams) {
    Endpoint any = new Endpoint("10.0.0.9", 1);
    return new Settings(
        "node-0",
        "east",
        any,
        any,
        Map.of(),
        any,
        any,
        List.of("east"),
        teams,
        List.of(),
        WORKER_SETTINGS,
        new Settings.StoreLimits(80, 20, 8, 16),
        new Settings.CloudLimits(4, 10),
        1000,
        0.025);
  }

  private void written(List<Attempt> opened) {
    onWritten.run();
    attempts.startDurable(opened);
  }

  /** A machine that has reported and takes direct commands. */
  public Machine machine(String name) {
    Machine machine = machines.findOrAdd(new MachineId(name), clock.now());
    machine.agent().beginEpoch(new AgentEpoch(1));
    machine.agent().endpoint("10.0.1.1:9000");
    machine.agent().heard(clock.now());
    return machine;
  }

  /** A job that the key-value store and the ledger hold. */
  public Job job(ObjectNode json) {
    ObjectNode record = RecordCodec.fresh(Specs.of(json), clock.wallMillis(), VALUE_BYTES);
    String key = Keys.JOBS + json.get("ref").textValue();
    core.compareAndSwap(new CompareAndSwap(Map.of(), List.of(new Change.Put(key, record, 0))));
    Revision revision = core.get(key).entry().orElseThrow().revision();
    try {
      Job job = LedgerLoader.read(record, revision, clock.now());
      ledger.adopt(job);
      return job;
    } catch (WireException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Opens an attempt of a job's task on a machine, and hands it to the writer. */
  public Attempt open(Job job, int index, Machine machine) {
    MachineAttributes site =
        new MachineAttributes(
            machine.id(),
            machine.agent().epoch(),
            "small",
            0,
            "east",
            false,
            Resources.offer(8, 0, 64));
    ledger.open(job, List.of(new Ledger.Placement(index, site)), task -> false, clock.now());
    writer.pump();
    return job.open(index);
  }

  /** The tasks that machines show. */
  public ReportedTasks reportedTasks() {
    return new ReportedTaskCounts();
  }

  /** A leadership that holds until it is lost. */
  public static final class TestAuthority implements Authority {
    private Term term = new Term(1);
    private Revision revision;

    @Override
    public Term term() {
      return term;
    }

    @Override
    public Revision termRevision() {
      return revision;
    }

    @Override
    public boolean valid() {
      return true;
    }

    @Override
    public void raised(Term to, Revision at) {
      term = to;
      revision = at;
    }

    @Override
    public void lost(String why) {
      throw new AssertionError(why);
    }
  }

  /** Notes what it is told, and never answers. */
  private final class SilentWorkers implements Workers {
    @Override
    public CompletableFuture<Outcome<Answer>> command(
        Endpoint worker,
        Term term,
        AgentEpoch epoch,
        List<Command> commands,
        BooleanSupplier maySend) {
      sent.addAll(commands);
      return new CompletableFuture<>();
    }

    @Override
    public void forget(Endpoint worker) {}
  }

  /** Carries transactions out at once, or not before it is let go on. */
  public static final class HeldStore implements KeyValueStore {
    private final KeyValueStore store;
    private final List<Runnable> heldBack = new ArrayList<>();
    private boolean holding;
    private boolean holdingReads;

    HeldStore(KeyValueStore store) {
      this.store = store;
    }

    public void hold() {
      holding = true;
    }

    /** Reads of single keys are answered only once this is let go on. */
    public void holdReads() {
      holdingReads = true;
    }

    public void letGo() {
      holding = false;
      holdingReads = false;
      List<Runnable> now = List.copyOf(heldBack);
      heldBack.clear();
      now.forEach(Runnable::run);
    }

    @Override
    public CompletableFuture<Outcome<Revision>> compareAndSwap(
        CompareAndSwap compareAndSwap, RequestPriority priority) {
      if (!holding) {
        return store.compareAndSwap(compareAndSwap, priority);
      }
      CompletableFuture<Outcome<Revision>> answer = new CompletableFuture<>();
      heldBack.add(
          () ->
              AsyncCalls.whenAnswered(
                  store.compareAndSwap(compareAndSwap, priority), answer::complete));
      return answer;
    }

    @Override
    public CompletableFuture<Outcome<Read>> get(String key, RequestPriority priority) {
      if (!holdingReads) {
        return store.get(key, priority);
      }
      CompletableFuture<Outcome<Read>> answer = new CompletableFuture<>();
      heldBack.add(() -> AsyncCalls.whenAnswered(store.get(key, priority), answer::complete));
      return answer;
    }

    @Override
    public CompletableFuture<Outcome<Page>> list(
        String prefix, String after, int limit, RequestPriority priority) {
      return store.list(prefix, after, limit, priority);
    }

    @Override
    public CompletableFuture<Outcome<Long>> grant(long millis) {
      return store.grant(millis);
    }

    @Override
    public CompletableFuture<Outcome<Long>> renew(long lease, double timeoutS) {
      return store.renew(lease, timeoutS);
    }

    @Override
    public CompletableFuture<Outcome<Long>> revoke(long lease) {
      return store.revoke(lease);
    }

    @Override
    public CompletableFuture<Outcome<Changes>> watch(String prefix, Revision from, double waitS) {
      return store.watch(prefix, from, waitS);
    }

    @Override
    public int changesNow(RequestPriority priority) {
      return store.changesNow(priority);
    }

    @Override
    public double secondsUntilSwapAllowed(int changes, RequestPriority priority) {
      return store.secondsUntilSwapAllowed(changes, priority);
    }
  }

  public SteadyTime now() {
    return clock.now();
  }
}
