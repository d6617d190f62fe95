package org.ternhinge.election;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.ternhinge.model.Revision;
import org.ternhinge.model.Term;
import org.ternhinge.store.Entry;
import org.ternhinge.wire.Json;

/**
 * The highest term so far, as the key-value store holds it.
 *
 * @param term 0 before the first leadership
 * @param revision of the record, {@link Revision#NONE} where there is none
 */
record TermRecord(Term term, Revision revision) {
  private static final String NUMBER = "n";
  private static final String INCARNATION = "inc";
  private static final TermRecord NONE = new TermRecord(new Term(0), Revision.NONE);

  /** Reads the term's key, which may be absent. */
  static TermRecord of(Optional<Entry> entry) {
    return entry.map(TermRecord::read).orElse(NONE);
  }

  private static TermRecord read(Entry entry) {
    return new TermRecord(new Term(entry.value().path(NUMBER).asLong()), entry.revision());
  }

  /**
   * A claim of a term. It names its process, so that no two claims of one term are equal.
   *
   * @param incarnation the process that claims it
   */
  static ObjectNode claim(Term term, String incarnation) {
    return Json.object().put(NUMBER, term.value()).put(INCARNATION, incarnation);
  }
}
