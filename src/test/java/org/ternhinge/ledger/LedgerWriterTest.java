package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Team;
import org.ternhinge.ledger.Ledger.Placement;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.Entry;
import org.ternhinge.store.KeyCondition;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/** Order of writes, lost responses, and ends of jobs that need several transactions. */
class LedgerWriterTest {
  private static final int TASKS = 500;

  private final SimClock clock = new SimClock();
  private final InMemoryStore core = new InMemoryStore(clock);
  private final List<CompareAndSwap> sent = new ArrayList<>();
  private Runnable afterEachWrite = () -> {};
  private int tokens = 16;

  /** If set, the term revision that the leader believes to be current. */
  private Revision knownTermRevision;

  private final List<LeadershipLoss> lost = new ArrayList<>();

  /** Number of transactions whose responses are lost. */
  private int lostResponses;

  private boolean applyDespiteLostResponse;
  private final Ledger ledger =
      new Ledger(Map.of("red", new Team("red", 0, 0, 0, 0)), 8 * 1024, clock);
  private final LedgerWriter writer =
      new LedgerWriter(
          ledger, new Store(), new Leader(), clock, new ReentrantLock(), 16, opened -> {});

  private final class Leader extends FirstTermAuthority {
    @Override
    public Revision termRevision() {
      return knownTermRevision != null ? knownTermRevision : currentTermRevision();
    }

    @Override
    public void onLost(LeadershipLoss loss) {
      if (knownTermRevision == null) {
        throw new AssertionError(loss);
      }
      lost.add(loss);
    }
  }

  /** Implements only the operations that the writer uses. */
  private final class Store implements KeyValueStore {
    @Override
    public CompletableFuture<Outcome<Revision>> compareAndSwap(
        CompareAndSwap compareAndSwap, RequestPriority priority) {
      sent.add(compareAndSwap);
      CompletableFuture<Outcome<Revision>> out = new CompletableFuture<>();
      boolean isLost = lostResponses-- > 0;
      Outcome<Revision> outcome =
          isLost && !applyDespiteLostResponse
              ? Outcome.unknown("no answer")
              : core.compareAndSwap(compareAndSwap);
      afterEachWrite.run();
      clock.schedule(0.01, () -> out.complete(isLost ? Outcome.unknown("no answer") : outcome));
      return out;
    }

    @Override
    public int availableChanges(RequestPriority priority) {
      return tokens;
    }

    @Override
    public double secondsUntilAvailable(int changes, RequestPriority priority) {
      return 0;
    }

    @Override
    public CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority) {
      return CompletableFuture.completedFuture(Outcome.applied(core.get(key)));
    }

    @Override
    public CompletableFuture<Outcome<Page>> list(
        String prefix, String after, int limit, RequestPriority priority) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Outcome<Long>> grantLease(long millis) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Outcome<Long>> renewLease(long lease, double timeoutS) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Outcome<Long>> revokeLease(long lease) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Outcome<WatchResult>> watch(
        String prefix, Revision from, double waitS) {
      throw new UnsupportedOperationException();
    }
  }

  private Job accept(String id, String kind, String priority, int tasks, String... dependencies) {
    ObjectNode spec =
        SubmissionJson.smallJob(id, kind, tasks).put("cpus", 0.001).put("memory_gb", 0.001);
    if (dependencies.length > 0) {
      List.of(dependencies).forEach(spec.putArray("bidur_eftir")::add);
    }
    spec.put("forgang", priority);
    ObjectNode record = RecordCodec.encodeNew(SubmissionJson.parse(spec), 1, ledger.valueBytes());
    String key = Keys.job(SubmissionJson.parse(spec).id());
    List<KeyCondition> none = List.of(KeyCondition.absent(key));
    Outcome<Revision> put =
        core.compareAndSwap(new CompareAndSwap(none, List.of(new Change.Put(key, record, 0))));
    Revision at = ((Outcome.Applied<Revision>) put).value();
    try {
      Job job = LedgerLoader.read(record, at, clock.now());
      ledger.add(job);
      return job;
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }

  private void open(Job job, int from, int to) {
    MachineAttributes site = TestMachines.on("n-1", 1);
    List<Placement> placements = new ArrayList<>();
    for (int i = from; i < to; i++) {
      placements.add(new Placement(i, site));
    }
    assertEquals(Optional.empty(), ledger.open(job, placements, t -> false, clock.now()));
  }

  /** Asserts that a leader elected now would not load any task as one that has never run. */
  private void assertNoTaskLooksUnstarted(Job job) {
    if (core.get(Keys.finalRecord(job.spec().id())).entry().isPresent()) {
      return;
    }
    try {
      Entry first = core.get(Keys.job(job.spec().id())).entry().orElseThrow();
      Job loaded = RecordCodec.decodeFirst(first.value(), first.revision(), clock.now());
      for (Entry e : core.list(first.key() + "/", null, 100).entries()) {
        int segment = Integer.parseInt(e.key().substring(first.key().length() + 1));
        RecordCodec.decodeTasks(loaded, segment, e.value(), e.revision(), clock.now());
      }
      for (int i = 0; i < job.spec().tasks(); i++) {
        assertTrue(
            loaded.isDone(i) || loaded.openAttempt(i) != null, "task " + i + " would run again");
      }
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void endOfLargeArrayIsConsistentAfterEveryTransaction() {
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(Keys.TERM, Json.object().put("n", 1), 0))));
    Job job = accept("wk-1", "batch", "normal", TASKS);
    open(job, 0, TASKS);
    writer.sendNext();
    clock.runFor(5);
    tokens = 2;
    afterEachWrite = () -> assertNoTaskLooksUnstarted(job);
    for (Attempt a : List.copyOf(job.openAttempts())) {
      assertTrue(a.isDurable());
      ledger.close(a, true);
    }
    writer.sendNext();
    clock.runFor(30);
    assertTrue(
        core.get(Keys.finalRecord(job.spec().id())).entry().isPresent(), "final record is written");
    assertEquals(List.of(), core.list(Keys.JOBS, null, 100).entries(), "segments are deleted");
    sent.forEach(t -> assertTrue(t.changes().size() <= 16));
  }

  private Revision currentTermRevision() {
    return core.get(Keys.TERM).entry().map(Entry::revision).orElse(Revision.NONE);
  }

  /**
   * A conflict after a lost response. The record may contain the expected value and yet have been
   * written by another leader, in which case the rest of the transaction was not applied.
   */
  @ParameterizedTest(name = "applied {0}, next leader writes the same value {1}")
  @CsvSource({"true, false, true", "false, true, false"})
  void equalValueOfAnotherTermIsNotTakenAsApplied(
      boolean applied, boolean otherLeader, boolean durable) {
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(Keys.TERM, Json.object().put("n", 1), 0))));
    knownTermRevision = currentTermRevision();
    Job cancelled = accept("wk-1", "batch", "normal", 3);
    open(cancelled, 0, 1);
    writer.sendNext();
    clock.runFor(1);
    assertEquals(1, sent.size());
    Job opened = accept("wk-2", "daemon", "production", 2);
    lostResponses = 1;
    applyDespiteLostResponse = applied;
    ledger.cancel(cancelled);
    open(opened, 0, 2);
    writer.sendNext();
    if (otherLeader) {
      List<Change> same = new ArrayList<>();
      same.add(new Change.Put(Keys.TERM, Json.object().put("n", 2).put("inc", "b"), 0));
      sent.get(1).changes().stream().filter(c -> c.key().equals("j/wk-1")).forEach(same::add);
      core.compareAndSwap(new CompareAndSwap(List.of(), same));
    }
    clock.runFor(5);
    assertEquals(durable ? 0 : 1, lost.size());
    opened.openAttempts().forEach(a -> assertEquals(durable, a.isDurable()));
    assertEquals(durable, cancelled.isCancellationDurable());
  }

  /** A segment whose last task ends while it is written is created again and must be deleted. */
  @Test
  void segmentMergedWhileBeingWrittenIsDeleted() {
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(Keys.TERM, Json.object().put("n", 1), 0))));
    Job job = accept("wk-1", "batch", "normal", TASKS);
    open(job, 0, TASKS);
    writer.sendNext();
    clock.runFor(5);
    int segment = 1;
    List<Attempt> attempts =
        job.openAttempts().stream()
            .filter(attempt -> job.record().segmentOf(attempt.task().index()) == segment)
            .toList();
    attempts.subList(1, attempts.size()).forEach(attempt -> ledger.close(attempt, true));
    String key = Keys.segment(job.spec().id(), segment);
    int before = sent.size();
    afterEachWrite =
        () -> {
          if (sent.size() == before + 1) {
            assertEquals(key, sent.get(before).changes().get(0).key());
            ledger.close(attempts.get(0), true);
          }
        };
    clock.runFor(1);
    writer.sendNext();
    clock.runFor(5);
    assertTrue(job.record().merged().get(segment));
    assertTrue(core.get(key).entry().isEmpty(), "key of the merged segment is left behind");
  }

  /** The callback of one key's write may immediately write another key of the same transaction. */
  @Test
  void revisionsAreRecordedBeforeCallbacksRun() {
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(Keys.TERM, Json.object().put("n", 1), 0))));
    knownTermRevision = currentTermRevision();
    writer.write("r/1", Json::object);
    writer.write("r/0", Json::object, () -> writer.write("r/0", Json::object));
    writer.write("x/0", Json::object);
    afterEachWrite =
        () -> {
          if (sent.size() == 2) {
            writer.write("x/0", () -> Json.object().put("last", true));
          }
        };
    clock.runFor(1);
    assertEquals(List.of(), lost);
    assertEquals("{\"last\":true}", core.get("x/0").entry().orElseThrow().value().toString());
  }

  @Test
  void mostUrgentWritesGoFirst() {
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(Keys.TERM, Json.object().put("n", 1), 0))));
    Job array = accept("wk-1", "batch", "normal", 5);
    Job service = accept("wk-2", "daemon", "production", 2);
    Job cancelled = accept("wk-3", "daemon", "production", 1);
    tokens = 0;
    open(array, 0, 5);
    open(service, 0, 2);
    open(cancelled, 0, 1);
    ledger.cancel(cancelled);
    writer.sendNext();
    assertEquals(List.of(), sent, "no transaction without tokens");
    tokens = 1;
    clock.runFor(1);
    List<String> keys = new ArrayList<>();
    sent.forEach(t -> t.changes().forEach(c -> keys.add(c.key())));
    assertEquals(List.of("j/wk-3", "j/wk-2", "j/wk-1"), keys);
  }

  /** Nothing more is written for a dependent whose final record was already written. */
  @Test
  void endedJobIsNotCancelledByItsDependency() {
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(Keys.TERM, Json.object().put("n", 1), 0))));
    knownTermRevision = currentTermRevision();
    Job dependency = accept("wk-1", "batch", "normal", 3);
    open(dependency, 0, 1);
    Job dependent = accept("wk-2", "batch", "normal", 1, "wk-1");
    ledger.cancel(dependent);
    writer.sendNext();
    clock.runFor(2);
    assertTrue(core.get(Keys.finalRecord(dependent.spec().id())).entry().isPresent());
    ledger.cancel(dependency);
    writer.sendNext();
    clock.runFor(5);
    assertTrue(dependency.isCancellationDurable());
    assertEquals(List.of(), lost);
    assertTrue(writer.isIdle());
  }
}
