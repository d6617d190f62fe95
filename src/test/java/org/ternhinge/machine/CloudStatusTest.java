package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.ternhinge.model.MonotonicTime;

/** The state of a machine as reported by the cloud. */
class CloudStatusTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private static final MonotonicTime LATER = NOW.plusSeconds(9);
  private final CloudStatus cloud = new CloudStatus(NOW);

  @Test
  void unlistedMachineIsConfirmedByDiscovery() {
    assertFalse(cloud.isListed());
    assertFalse(cloud.isListedRunning());
    assertEquals(NOW, cloud.discoveredAt());
    assertEquals(NOW, cloud.lastConfirmedAt());
  }

  @Test
  void lastListingIsKept() {
    cloud.recordListing(NOW, true);
    assertTrue(cloud.isListedRunning());
    cloud.recordListing(LATER, false);
    assertTrue(cloud.isListed());
    assertFalse(cloud.isListedRunning());
    assertEquals(LATER, cloud.lastConfirmedAt());
    assertEquals(NOW, cloud.discoveredAt());
  }

  @Test
  void firstReclaimNoticeIsKept() {
    assertEquals(Optional.empty(), cloud.reclaimAt());
    assertFalse(cloud.hasReclaimNotice());
    cloud.recordReclaimNotice(NOW);
    cloud.recordReclaimNotice(LATER);
    assertEquals(Optional.of(NOW), cloud.reclaimAt());
    assertTrue(cloud.hasReclaimNotice());
  }

  @Test
  void provisionTimeDefaultsToDiscoveryTime() {
    assertEquals(NOW, cloud.provisionedAt());
    assertTrue(cloud.provisionedAt().isBefore(LATER));
    cloud.setProvisionedAt(LATER);
    assertFalse(cloud.provisionedAt().isBefore(LATER));
  }

  static Stream<Named<Consumer<CloudStatus>>> removalCauses() {
    return Stream.of(
        Named.of("released", CloudStatus::markReleasing),
        Named.of("reclaimed", cloud -> cloud.recordReclaimNotice(LATER)),
        Named.of("terminated", CloudStatus::markTerminated));
  }

  @ParameterizedTest
  @MethodSource("removalCauses")
  void machineIsRetainedUntil(Consumer<CloudStatus> cause) {
    assertTrue(cloud.isRetained());
    cause.accept(cloud);
    assertFalse(cloud.isRetained());
  }
}
