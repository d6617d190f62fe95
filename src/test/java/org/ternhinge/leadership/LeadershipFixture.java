package org.ternhinge.leadership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.ternhinge.attempt.AgentStatusSink;
import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.attempt.CommandDispatcher;
import org.ternhinge.attempt.FencingTokens;
import org.ternhinge.attempt.MessageOrigin;
import org.ternhinge.attempt.StartFence;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Team;
import org.ternhinge.config.Tuning;
import org.ternhinge.failover.ZoneControl;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerLoader;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.ledger.MachineAttributes;
import org.ternhinge.ledger.RecordCodec;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.ReportedTaskCounts;
import org.ternhinge.machine.ReportedTasks;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Resources;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.DirectStore;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.term.BucketedRecords;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * Collaborators for tests of leadership components: a real ledger and writer on a {@link
 * PausableStore}, {@link RecordingWorkers}, and a counter of requested rounds.
 */
public final class LeadershipFixture {
  public static final Settings.WorkerTimings WORKER_SETTINGS =
      new Settings.WorkerTimings(2, 10, 30, 5, 20);
  static final String WORKER_ENDPOINT = "10.0.1.1:9000";
  private static final int VALUE_BYTES = 8 * 1024;

  public final SimClock clock = new SimClock();
  public final InMemoryStore storeCore = new InMemoryStore(clock);
  public final PausableStore store = new PausableStore(new DirectStore(storeCore));
  public final List<Command> sentCommands = new ArrayList<>();
  public final RecordingWorkers workers = new RecordingWorkers(sentCommands);
  public final TestAuthority authority;
  private final ReentrantLock lock = new ReentrantLock();
  private final Map<String, Team> teams = Map.of("red", new Team("red", 0, 0, 0, 0));
  public final LeadershipExecutor executor;
  public final Ledger ledger;
  public final LedgerWriter writer;
  public final MachineRegistry machines;
  public final LeadershipContext context;
  public final FencingTokens tokens;
  public final StartFence startFence;
  public final CommandDispatcher dispatcher;
  public final AttemptLifecycle attempts;

  /** The status reports in responses to direct commands, earliest first. */
  public final List<Heartbeat> reportedStatuses = new ArrayList<>();

  public int roundsRequested;

  /** Runs after each ledger write, before the starts are sent. */
  public Runnable afterWrite = () -> {};

  /** Creates the collaborators for a leadership in term 1. */
  public LeadershipFixture() {
    storeCore.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(Keys.TERM, Json.object().put("n", 1), 0))));
    authority = new TestAuthority(storeCore.get(Keys.TERM).entry().orElseThrow().revision());
    executor = new LeadershipExecutor(clock, lock);
    ledger = new Ledger(teams, VALUE_BYTES, clock);
    writer = new LedgerWriter(ledger, store, authority, clock, lock, 16, this::written);
    machines = new MachineRegistry(clock.now().plusSeconds(WORKER_SETTINGS.leaseS()));
    context =
        new LeadershipContext(
            services(null),
            authority,
            executor,
            ledger,
            writer,
            () -> roundsRequested++,
            clock.now());
    tokens = new FencingTokens(authority, writer);
    startFence = new StartFence(tokens, context.services().metrics());
    dispatcher = new CommandDispatcher(context, tokens, this::recordStatus);
    attempts = new AttemptLifecycle(context, machines, dispatcher, ZoneControl.NONE);
  }

  private AgentStatusSink.Result recordStatus(
      Machine machine, Heartbeat status, MessageOrigin origin, MonotonicTime now) {
    reportedStatuses.add(status);
    return AgentStatusSink.Result.APPLIED;
  }

  /** Creates controller services with the given cloud. */
  public ControllerServices services(Cloud cloud) {
    return new ControllerServices(
        settings(teams),
        Tuning.DEFAULT,
        store,
        cloud,
        workers,
        clock,
        lock,
        Runnable::run,
        new Metrics());
  }

  /** Creates bucketed records under a key prefix. */
  public BucketedRecords bucketedRecords(String prefix) {
    return new BucketedRecords(writer, prefix, VALUE_BYTES);
  }

  private static Settings settings(Map<String, Team> teams) {
    Endpoint unusedEndpoint = new Endpoint("10.0.0.9", 1);
    return new Settings(
        "node-0",
        "east",
        unusedEndpoint,
        unusedEndpoint,
        Map.of(),
        unusedEndpoint,
        unusedEndpoint,
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
    afterWrite.run();
    attempts.sendDurableStarts(opened);
  }

  /** Adds a machine that has sent a heartbeat and accepts direct commands. */
  public Machine addMachine(String name) {
    Machine machine = machines.findOrAdd(new MachineId(name), clock.now());
    machine.agent().beginEpoch(new AgentEpoch(1));
    machine.agent().setEndpoint(WORKER_ENDPOINT);
    machine.agent().recordMessage(clock.now());
    return machine;
  }

  /** Adds a job to the key-value store and the ledger. */
  public Job addJob(ObjectNode json) {
    ObjectNode record =
        RecordCodec.encodeNew(SubmissionJson.parse(json), clock.wallClockMillis(), VALUE_BYTES);
    String key = Keys.JOBS + json.get("ref").textValue();
    storeCore.compareAndSwap(
        new CompareAndSwap(List.of(), List.of(new Change.Put(key, record, 0))));
    Revision revision = storeCore.get(key).entry().orElseThrow().revision();
    try {
      Job job = LedgerLoader.read(record, revision, clock.now());
      ledger.add(job);
      return job;
    } catch (WireException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Opens an attempt of a job's task on a machine and starts writing it. */
  public Attempt openAttempt(Job job, int index, Machine machine) {
    MachineAttributes attributes =
        new MachineAttributes(
            machine.id(),
            machine.agent().epoch(),
            "small",
            0,
            "east",
            false,
            Resources.ofCapacity(8, 0, 64));
    ledger.open(job, List.of(new Ledger.Placement(index, attributes)), task -> false, clock.now());
    writer.sendNext();
    return job.openAttempt(index);
  }

  /** Returns a builder for a heartbeat of a machine. */
  public HeartbeatBuilder heartbeat(Machine machine) {
    return new HeartbeatBuilder(machine);
  }

  /** Creates an empty record of reported tasks. */
  public ReportedTasks reportedTasks() {
    return new ReportedTaskCounts();
  }

  /** Returns the time of the simulated clock. */
  public MonotonicTime now() {
    return clock.now();
  }
}
