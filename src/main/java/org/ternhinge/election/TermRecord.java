package org.ternhinge.election;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;
import org.ternhinge.store.Entry;
import org.ternhinge.wire.Json;

/**
 * The highest term so far, as stored in the key-value store.
 *
 * @param term 0 before the first leadership
 * @param revision revision of the record, {@link Revision#NONE} if there is none
 */
record TermRecord(Term term, Revision revision) {
  private static final String NUMBER = "n";
  private static final String INCARNATION = "inc";
  private static final TermRecord NONE = new TermRecord(new Term(0), Revision.NONE);

  /** Converts the entry of the term's key, which may be absent. */
  static TermRecord of(Optional<Entry> entry) {
    return entry.map(TermRecord::read).orElse(NONE);
  }

  private static TermRecord read(Entry entry) {
    return new TermRecord(new Term(entry.value().path(NUMBER).asLong()), entry.revision());
  }

  /**
   * The value that claims a term. It contains the claiming process, so that two claims of the same
   * term are never equal.
   *
   * @param incarnation identifies the claiming process
   */
  static ObjectNode claimValue(Term term, String incarnation) {
    return Json.object().put(NUMBER, term.value()).put(INCARNATION, incarnation);
  }
}
