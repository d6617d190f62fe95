package org.ternhinge.store;

import com.fasterxml.jackson.databind.JsonNode;
import org.ternhinge.model.Revision;

/** A change of one key, either requested by a transaction or observed by a watch. */
public sealed interface Change {
  /** The key that is changed. */
  String key();

  /**
   * A request to set a key.
   *
   * @param key the key to set
   * @param value its new value
   * @param lease id of the lease that the key is attached to, or {@link #NO_LEASE}
   */
  record Put(String key, JsonNode value, long lease) implements Change {
    /** Value of {@code lease} for a key that is kept until it is deleted. */
    public static final long NO_LEASE = 0;
  }

  /**
   * A request to remove a key.
   *
   * @param key the key to remove
   */
  record Delete(String key) implements Change {}

  /**
   * A change that a watch observed.
   *
   * @param key the key that changed
   * @param value its new value, or null if the key was removed
   * @param revision the revision of the change
   */
  record Observed(String key, JsonNode value, Revision revision) implements Change {}
}
