package org.ternhinge.machine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The images that one machine holds or fetches, as far as the leader can tell: a machine keeps the
 * most recently used images. Guarded by the controller's lock.
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

  /** The names of all images, as a copy. */
  Set<String> names() {
    return Set.copyOf(sizes.keySet());
  }

  /**
   * Notes the use of an image, and drops the least recently used ones where the cache is full.
   *
   * @return whether the image was not there before
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
