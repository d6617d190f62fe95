package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.DirectStore;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.SimClock;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.wire.Json;

/** Reading back the outcome of a transaction whose response was lost. */
class TransactionVerifierTest {
  private static final ObjectNode OURS = Json.object().put("value", "ours");

  private final SimClock clock = new SimClock();
  private final InMemoryStore core = new InMemoryStore(clock);
  private final List<TransactionVerifier.Verdict> verdicts = new ArrayList<>();

  /** Number of reads that fail before one succeeds. */
  private int failures;

  private int reads;

  private final class FailingStore extends DirectStore {
    FailingStore() {
      super(core);
    }

    @Override
    public CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority) {
      reads++;
      return failures-- > 0
          ? CompletableFuture.completedFuture(Outcome.unknown("no answer"))
          : super.get(key, priority);
    }
  }

  private static final class Leader extends FirstTermAuthority {
    private final Revision termRevision;

    Leader(Revision termRevision) {
      this.termRevision = termRevision;
    }

    @Override
    public Revision termRevision() {
      return termRevision;
    }

    @Override
    public void onLost(LeadershipLoss loss) {
      throw new AssertionError("verifier must only read");
    }
  }

  private Revision put(String key, ObjectNode value) {
    core.compareAndSwap(new CompareAndSwap(List.of(), List.of(new Change.Put(key, value, 0))));
    return core.get(key).entry().orElseThrow().revision();
  }

  private TransactionVerifier verifier(Revision termRevision) {
    return new TransactionVerifier(
        new FailingStore(),
        new Leader(termRevision),
        clock,
        new LockedExecutor(new ReentrantLock()));
  }

  private static LedgerTransaction transaction(Change... changes) {
    return new LedgerTransaction(
        new CompareAndSwap(List.of(), List.of(changes)), List.of(), List.of());
  }

  private String verdict() {
    assertEquals(1, verdicts.size());
    return verdicts.get(0) instanceof TransactionVerifier.Overtaken overtaken
        ? overtaken.loss().description()
        : "applied";
  }

  /** {@code j/a} is read back, since the deletion of {@code j/b} is weaker evidence. */
  @ParameterizedTest(name = "term {0}, j/a holds {1}")
  @CsvSource({
    "ours, ours, applied",
    "ours, theirs, a write of ours was overtaken",
    "ours, nothing, a write of ours was overtaken",
    "theirs, ours, a write of ours was overtaken by another term",
    "absent, ours, a write of ours was overtaken by another term"
  })
  void equalValueIsEvidenceUnderOwnTermOnly(String term, String value, String expected) {
    if (!value.equals("nothing")) {
      put("j/a", Json.object().put("value", value));
    }
    Revision ours = term.equals("absent") ? new Revision(1) : put("term", Json.object());
    if (term.equals("theirs")) {
      put("term", Json.object().put("inc", "b"));
    }
    LedgerTransaction sent = transaction(new Change.Delete("j/b"), new Change.Put("j/a", OURS, 0));
    verifier(ours).verify(sent, verdicts::add);
    assertEquals(expected, verdict());
  }

  @ParameterizedTest(name = "the removed key is there: {0}")
  @CsvSource({"false, applied", "true, a write of ours was overtaken"})
  void absentKeyProvesTransactionOfDeletions(boolean there, String expected) {
    if (there) {
      put("j/a", OURS);
    }
    Revision term = put("term", Json.object());
    verifier(term).verify(transaction(new Change.Delete("j/a")), verdicts::add);
    assertEquals(expected, verdict());
  }

  /** The raise itself changes the term's revision, so the value is compared instead. */
  @ParameterizedTest(name = "the term holds {0}")
  @CsvSource(
      delimiter = '|',
      value = {"2 | | applied", "2 | b | a write of ours was overtaken"})
  void raisedTermIsRecognizedByItsValue(int number, String process, String expected) {
    Revision before = put("term", Json.object().put("n", 1));
    ObjectNode now = Json.object().put("n", number);
    put("term", process == null ? now : now.put("inc", process));
    Change raise = new Change.Put("term", Json.object().put("n", 2), 0);
    verifier(before).verify(transaction(new Change.Put("j/a", OURS, 0), raise), verdicts::add);
    assertEquals(expected, verdict());
  }

  @Test
  void failedReadRestartsVerificationFromTerm() {
    put("j/a", OURS);
    Revision term = put("term", Json.object());
    failures = 2;
    verifier(term).verify(transaction(new Change.Put("j/a", OURS, 0)), verdicts::add);
    assertEquals(List.of(), verdicts);
    clock.runFor(1);
    assertEquals("applied", verdict());
    assertEquals(4, reads);
  }

  @Test
  void noVerdictIsDeliveredAfterStop() {
    put("j/a", OURS);
    TransactionVerifier verifier = verifier(put("term", Json.object()));
    verifier.stop();
    verifier.verify(transaction(new Change.Put("j/a", OURS, 0)), verdicts::add);
    clock.runFor(1);
    assertEquals(List.of(), verdicts);
  }
}
