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
import org.ternhinge.model.Term;
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

/** The order of writes, lost answers, and ends in several transactions. */
class LedgerWriterTest {
  private static final int TASKS = 500;

  private final SimClock clock = new SimClock();
  private final InMemoryStore core = new InMemoryStore(clock);
  private final List<CompareAndSwap> sent = new ArrayList<>();
  private Runnable afterEach = () -> {};
  private int budget = 16;

  /** Where set, the term's version that the leader knows, whatever has become of it. */
  private Revision ledAt;

  private final List<LeadershipLoss> lost = new ArrayList<>();

  /** Transactions that get no answer, and whether they are carried out all the same. */
  private int unanswered;

  private boolean carriedOut;
  private final Ledger ledger =
      new Ledger(Map.of("red", new Team("red", 0, 0, 0, 0)), 8 * 1024, clock);
  private final LedgerWriter writer =
      new LedgerWriter(
          ledger, new Store(), new Leader(), clock, new ReentrantLock(), 16, opened -> {});

  private final class Leader implements Authority {
    @Override
    public Term term() {
      return new Term(1);
    }

    @Override
    public Revision termRevision() {
      return ledAt != null ? ledAt : termNow();
    }

    @Override
    public boolean valid() {
      return true;
    }

    @Override
    public void raised(Term term, Revision revision) {
      throw new AssertionError("nothing asks for it");
    }

    @Override
    public void lost(LeadershipLoss loss) {
      if (ledAt == null) {
        throw new AssertionError(loss);
      }
      lost.add(loss);
    }
  }

  /** Only what the writer uses. */
  private final class Store implements KeyValueStore {
    @Override
    public CompletableFuture<Outcome<Revision>> compareAndSwap(
        CompareAndSwap compareAndSwap, RequestPriority priority) {
      sent.add(compareAndSwap);
      CompletableFuture<Outcome<Revision>> out = new CompletableFuture<>();
      boolean mute = unanswered-- > 0;
      Outcome<Revision> outcome =
          mute && !carriedOut ? Outcome.unknown("no answer") : core.compareAndSwap(compareAndSwap);
      afterEach.run();
      clock.after(0.01, () -> out.complete(mute ? Outcome.unknown("no answer") : outcome));
      return out;
    }

    @Override
    public int availableChanges(RequestPriority priority) {
      return budget;
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
    List<Placement> places = new ArrayList<>();
    for (int i = from; i < to; i++) {
      places.add(new Placement(i, site));
    }
    assertEquals(Optional.empty(), ledger.open(job, places, t -> false, clock.now()));
  }

  /** What a leader that came in now would load: no task may look as if it had never run. */
  private void nothingLooksUnstarted(Job job) {
    if (core.get(Keys.end(job.spec().id())).entry().isPresent()) {
      return;
    }
    try {
      Entry first = core.get(Keys.job(job.spec().id())).entry().orElseThrow();
      Job back = RecordCodec.decodeFirst(first.value(), first.revision(), clock.now());
      for (Entry e : core.list(first.key() + "/", null, 100).entries()) {
        int segment = Integer.parseInt(e.key().substring(first.key().length() + 1));
        RecordCodec.decodeTasks(back, segment, e.value(), e.revision(), clock.now());
      }
      for (int i = 0; i < job.spec().tasks(); i++) {
        assertTrue(back.isDone(i) || back.open(i) != null, "task " + i + " would run again");
      }
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void theEndOfALargeArrayIsSafeAtEveryStep() {
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(Keys.TERM, Json.object().put("n", 1), 0))));
    Job job = accept("wk-1", "batch", "normal", TASKS);
    open(job, 0, TASKS);
    writer.pump();
    clock.runFor(5);
    budget = 2;
    afterEach = () -> nothingLooksUnstarted(job);
    for (Attempt a : List.copyOf(job.openAttempts())) {
      assertTrue(a.durable());
      ledger.close(a, true);
    }
    writer.pump();
    clock.runFor(30);
    assertTrue(core.get(Keys.end(job.spec().id())).entry().isPresent(), "the end is written");
    assertEquals(List.of(), core.list(Keys.JOBS, null, 100).entries(), "and nothing is left");
    sent.forEach(t -> assertTrue(t.changes().size() <= 16));
  }

  private Revision termNow() {
    return core.get(Keys.TERM).entry().map(Entry::revision).orElse(Revision.NONE);
  }

  /**
   * A lost answer, then a conflict. The record may hold just what was to be written and yet be
   * another leader's: then nothing else of the batch was carried out.
   */
  @ParameterizedTest(name = "carried out {0}, next leader writes the same {1}")
  @CsvSource({"true, false, true", "false, true, false"})
  void anEqualValueOfAnotherTermIsNotOurs(boolean applied, boolean another, boolean durable) {
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(Keys.TERM, Json.object().put("n", 1), 0))));
    ledAt = termNow();
    Job cancelled = accept("wk-1", "batch", "normal", 3);
    open(cancelled, 0, 1);
    writer.pump();
    clock.runFor(1);
    assertEquals(1, sent.size());
    Job opens = accept("wk-2", "daemon", "production", 2);
    unanswered = 1;
    carriedOut = applied;
    ledger.cancel(cancelled);
    open(opens, 0, 2);
    writer.pump();
    if (another) {
      List<Change> same = new ArrayList<>();
      same.add(new Change.Put(Keys.TERM, Json.object().put("n", 2).put("inc", "b"), 0));
      sent.get(1).changes().stream().filter(c -> c.key().equals("j/wk-1")).forEach(same::add);
      core.compareAndSwap(new CompareAndSwap(List.of(), same));
    }
    clock.runFor(5);
    assertEquals(durable ? 0 : 1, lost.size());
    opens.openAttempts().forEach(a -> assertEquals(durable, a.durable()));
    assertEquals(durable, cancelled.cancelDurable());
  }

  /**
   * A segment's last task may end while the segment is being written, which merges it. The write
   * that was under way has left a key all the same, and nothing but its removal ever ends that.
   */
  @Test
  void aSegmentThatIsMergedWhileItIsWrittenIsRemoved() {
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(Keys.TERM, Json.object().put("n", 1), 0))));
    Job job = accept("wk-1", "batch", "normal", TASKS);
    open(job, 0, TASKS);
    writer.pump();
    clock.runFor(5);
    int segment = 1;
    List<Attempt> attempts =
        job.openAttempts().stream()
            .filter(attempt -> job.record().segmentOf(attempt.task().index()) == segment)
            .toList();
    attempts.subList(1, attempts.size()).forEach(attempt -> ledger.close(attempt, true));
    String key = Keys.segment(job.spec().id(), segment);
    int before = sent.size();
    afterEach =
        () -> {
          if (sent.size() == before + 1) {
            assertEquals(key, sent.get(before).changes().get(0).key());
            ledger.close(attempts.get(0), true);
          }
        };
    clock.runFor(1);
    writer.pump();
    clock.runFor(5);
    assertTrue(job.record().merged().get(segment));
    assertTrue(core.get(key).entry().isEmpty(), "a key that nobody would remove");
  }

  /** What one key's write sets off may write another key of the same transaction at once. */
  @Test
  void everyVersionOfATransactionIsKnownBeforeAnythingFollowsFromIt() {
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(Keys.TERM, Json.object().put("n", 1), 0))));
    ledAt = termNow();
    writer.write("r/1", Json::object);
    writer.write("r/0", Json::object, () -> writer.write("r/0", Json::object));
    writer.write("x/0", Json::object);
    afterEach =
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
  void whatUsersWaitForMostIsWrittenFirst() {
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(Keys.TERM, Json.object().put("n", 1), 0))));
    Job array = accept("wk-1", "batch", "normal", 5);
    Job service = accept("wk-2", "daemon", "production", 2);
    Job cancelled = accept("wk-3", "daemon", "production", 1);
    budget = 0;
    open(array, 0, 5);
    open(service, 0, 2);
    open(cancelled, 0, 1);
    ledger.cancel(cancelled);
    writer.pump();
    assertEquals(List.of(), sent, "no tokens, no transaction");
    budget = 1;
    clock.runFor(1);
    List<String> keys = new ArrayList<>();
    sent.forEach(t -> t.changes().forEach(c -> keys.add(c.key())));
    assertEquals(List.of("j/wk-3", "j/wk-2", "j/wk-1"), keys);
  }

  /** It is only then that its own dependency is cancelled: nothing of the ended job is written. */
  @Test
  void anEndedJobIsNotCancelledAgainByItsDependency() {
    core.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(Keys.TERM, Json.object().put("n", 1), 0))));
    ledAt = termNow();
    Job dependency = accept("wk-1", "batch", "normal", 3);
    open(dependency, 0, 1);
    Job dependent = accept("wk-2", "batch", "normal", 1, "wk-1");
    ledger.cancel(dependent);
    writer.pump();
    clock.runFor(2);
    assertTrue(core.get(Keys.end(dependent.spec().id())).entry().isPresent());
    ledger.cancel(dependency);
    writer.pump();
    clock.runFor(5);
    assertTrue(dependency.cancelDurable());
    assertEquals(List.of(), lost);
    assertTrue(writer.idle());
  }
}
