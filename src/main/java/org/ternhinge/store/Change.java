package org.ternhinge.store;

import com.fasterxml.jackson.databind.JsonNode;
import org.ternhinge.model.Revision;

/** One change to a key, wanted or observed. */
public sealed interface Change {
  /** The key that is changed. */
  String key();

  /** A value to set; the lease is 0 for a key that hangs on none. */
  record Put(String key, JsonNode value, long lease) implements Change {}

  /** A key to remove. */
  record Delete(String key) implements Change {}

  /** Something that a watch has seen; the value is null for a removal. */
  record Seen(String key, JsonNode value, Revision revision) implements Change {}
}
