package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.Revision;
import org.ternhinge.store.Change;
import org.ternhinge.store.KeyCondition;
import org.ternhinge.wire.Json;

/** Conditions and limits of a transaction. */
class TransactionDraftTest {
  private static final Revision TERM = new Revision(7);
  private static final ObjectNode VALUE = Json.object();

  @Test
  void changesAreConditionalOnTermAndKeyRevisions() {
    TransactionDraft draft = new TransactionDraft(TERM, 3);
    draft.put("j/a", VALUE, new Revision(3));
    draft.delete("j/b", new Revision(4));
    LedgerTransaction built = draft.build().orElseThrow();
    assertEquals(
        List.of(
            new KeyCondition("term", TERM),
            new KeyCondition("j/a", new Revision(3)),
            new KeyCondition("j/b", new Revision(4))),
        built.request().conditions());
    assertEquals(
        List.of(new Change.Put("j/a", VALUE, 0), new Change.Delete("j/b")),
        built.request().changes());
  }

  @Test
  void emptyDraftBuildsNoTransaction() {
    assertEquals(Optional.empty(), new TransactionDraft(TERM, 3).build());
  }

  @Test
  void draftIsFullAtMaxChanges() {
    TransactionDraft draft = new TransactionDraft(TERM, 2);
    draft.put("j/a", VALUE, Revision.NONE);
    assertEquals(1, draft.freeChanges());
    assertFalse(draft.isFull());
    draft.delete("j/b", TERM);
    assertTrue(draft.isFull());
  }

  /** A request is limited to 64 KiB; an oversized segment goes into a transaction of its own. */
  @ParameterizedTest(name = "{1} bytes after {0}: {2}")
  @CsvSource({
    "-1, 60000, true",
    "0, 40000, true",
    "30000, 18000, true",
    "30000, 20000, false",
    "49000, 1, false"
  })
  void totalBytesOfSegmentsAreLimited(int before, int bytes, boolean fits) {
    TransactionDraft draft = new TransactionDraft(TERM, 16);
    if (before >= 0) {
      draft.putSegment("j/a", VALUE, before, Revision.NONE);
    }
    assertEquals(fits, draft.hasBytesFor("j/b", bytes));
  }
}
