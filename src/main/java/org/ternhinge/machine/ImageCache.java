package org.ternhinge.machine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The leader's model of the image cache of one machine: images that it holds or fetches. The least
 * recently used images are evicted first. Guarded by the controller's lock.
 */
final class ImageCache {
  private static final int INITIAL_CAPACITY = 8;
  private static final float LOAD_FACTOR = 0.75f;

  /** Sizes in GB by name, the least recently used image first. */
  private final Map<String, Double> sizes =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  boolean contains(String image) {
    return sizes.containsKey(image);
  }

  /** The names of all images, as an unmodifiable copy. */
  Set<String> names() {
    return Set.copyOf(sizes.keySet());
  }

  /**
   * Records the use of an image, and evicts the least recently used ones while a new image exceeds
   * the capacity. The new image itself is never evicted.
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
