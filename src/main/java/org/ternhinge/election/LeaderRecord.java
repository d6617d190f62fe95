package org.ternhinge.election;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Json;

/**
 * The leader's record in the key-value store. It hangs on the leader's lease, so that it vanishes
 * with it.
 *
 * @param node the leading node
 * @param incarnation the process of that node
 * @param term the term that it leads with
 * @param knowsDependencies whether its version knows dependent jobs; versions that don't neither
 *     write nor read the field
 */
record LeaderRecord(String node, String incarnation, Term term, boolean knowsDependencies) {
  private static final String NODE = "node";
  private static final String INCARNATION = "inc";
  private static final String TERM = "term";
  private static final String KNOWS_DEPENDENCIES = "deps";

  ObjectNode toJson() {
    return Json.object()
        .put(NODE, node)
        .put(INCARNATION, incarnation)
        .put(TERM, term.value())
        .put(KNOWS_DEPENDENCIES, knowsDependencies);
  }

  static LeaderRecord fromJson(JsonNode json) {
    return new LeaderRecord(
        json.path(NODE).asText(),
        json.path(INCARNATION).asText(),
        new Term(json.path(TERM).asLong()),
        json.path(KNOWS_DEPENDENCIES).asBoolean());
  }
}
