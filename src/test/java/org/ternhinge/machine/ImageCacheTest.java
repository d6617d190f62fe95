package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Eviction of the least recently used images. */
class ImageCacheTest {
  private static final double CAPACITY_GB = 10;
  private final ImageCache cache = new ImageCache();

  private boolean use(String image, double sizeGb) {
    return cache.use(image, sizeGb, CAPACITY_GB);
  }

  @Test
  void onlyAbsentImageIsNew() {
    assertTrue(use("first", 4));
    assertFalse(use("first", 4));
    assertTrue(cache.contains("first"));
    assertFalse(cache.contains("second"));
  }

  @Test
  void imagesAreKeptUpToCapacity() {
    use("first", 4);
    use("second", 6);
    assertEquals(Set.of("first", "second"), cache.names());
  }

  @Test
  void leastRecentlyUsedImageIsEvictedFirst() {
    use("first", 4);
    use("second", 4);
    use("first", 4);
    use("third", 4);
    assertEquals(Set.of("first", "third"), cache.names());
  }

  @Test
  void imagesAreEvictedUntilCapacitySuffices() {
    use("first", 4);
    use("second", 4);
    use("third", 9);
    assertEquals(Set.of("third"), cache.names());
  }

  @Test
  void imageLargerThanCapacityIsKeptAlone() {
    use("first", 4);
    use("huge", 12);
    assertEquals(Set.of("huge"), cache.names());
  }
}
