package org.ternhinge.election;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Json;

/**
 * The leader's record in the key-value store. It is attached to the leader's lease and is removed
 * when the lease ends.
 *
 * @param node the leading node
 * @param incarnation identifies the leading process on that node
 * @param term the term of the leadership
 * @param supportsDependencies whether the leader's version supports dependent jobs; versions
 *     without that support neither write nor read the field
 */
record LeaderRecord(String node, String incarnation, Term term, boolean supportsDependencies) {
  private static final String NODE = "node";
  private static final String INCARNATION = "inc";
  private static final String TERM = "term";
  private static final String SUPPORTS_DEPENDENCIES = "deps";

  ObjectNode toJson() {
    return Json.object()
        .put(NODE, node)
        .put(INCARNATION, incarnation)
        .put(TERM, term.value())
        .put(SUPPORTS_DEPENDENCIES, supportsDependencies);
  }

  static LeaderRecord fromJson(JsonNode json) {
    return new LeaderRecord(
        json.path(NODE).asText(),
        json.path(INCARNATION).asText(),
        new Term(json.path(TERM).asLong()),
        json.path(SUPPORTS_DEPENDENCIES).asBoolean());
  }
}
