package org.ternhinge.store;

import java.util.List;
import java.util.Map;
import org.ternhinge.model.Revision;

/**
 * A condition of a {@link CompareAndSwap}: a key must have an expected revision.
 *
 * @param key the key that is compared
 * @param expected its expected revision, or {@link Revision#NONE} for a key that must not exist
 */
public record KeyCondition(String key, Revision expected) {

  /** The condition that a key does not exist. */
  public static KeyCondition absent(String key) {
    return new KeyCondition(key, Revision.NONE);
  }

  /** Conditions for the revisions of all keys in a map, in the iteration order of the map. */
  public static List<KeyCondition> allOf(Map<String, Revision> expectedByKey) {
    return expectedByKey.entrySet().stream()
        .map(entry -> new KeyCondition(entry.getKey(), entry.getValue()))
        .toList();
  }
}
