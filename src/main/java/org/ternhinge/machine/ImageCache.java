package org.ternhinge.machine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The leader's model of one machine's image cache: the images that are present or being pulled,
 * with least-recently-used eviction. Guarded by the controller's lock.
 */
final class ImageCache {
  private static final int INITIAL_CAPACITY = 8;
  private static final float LOAD_FACTOR = 0.75f;

  /** Image sizes in GB by name, least recently used first. */
  private final Map<String, Double> sizes =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  boolean contains(String image) {
    return sizes.containsKey(image);
  }

  /** Returns the names of all images as an unmodifiable copy. */
  Set<String> names() {
    return Set.copyOf(sizes.keySet());
  }

  /**
   * Records the use of an image. A new image evicts the least recently used ones until the capacity
   * suffices; the new image itself is never evicted.
   *
   * @return whether the image is new
   */
  boolean use(String image, double sizeGb, double capacityGb) {
    if (sizes.put(image, sizeGb) != null) {
      return false;
    }
    evict(image, capacityGb);
    return true;
  }

  private void evict(String newest, double capacityGb) {
    double usedGb = 0;
    for (double sizeGb : sizes.values()) {
      usedGb += sizeGb;
    }
    Iterator<Map.Entry<String, Double>> entries = sizes.entrySet().iterator();
    while (usedGb > capacityGb && entries.hasNext()) {
      Map.Entry<String, Double> eldest = entries.next();
      if (eldest.getKey().equals(newest)) {
        return;
      }
      usedGb -= eldest.getValue();
      entries.remove();
    }
  }
}
