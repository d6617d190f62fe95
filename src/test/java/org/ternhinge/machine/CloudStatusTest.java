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

/** A machine as the cloud sees it. */
class CloudStatusTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private static final MonotonicTime LATER = NOW.plusSeconds(9);
  private final CloudStatus cloud = new CloudStatus(NOW);

  @Test
  void aMachineThatWasNeverListedExistedWhenItBecameKnown() {
    assertFalse(cloud.isListed());
    assertFalse(cloud.isListedRunning());
    assertEquals(NOW, cloud.knownSince());
    assertEquals(NOW, cloud.lastKnownAt());
  }

  @Test
  void theLastListingCounts() {
    cloud.listed(NOW, true);
    assertTrue(cloud.isListedRunning());
    cloud.listed(LATER, false);
    assertTrue(cloud.isListed());
    assertFalse(cloud.isListedRunning());
    assertEquals(LATER, cloud.lastKnownAt());
    assertEquals(NOW, cloud.knownSince());
  }

  @Test
  void theFirstReclaimNoticeStands() {
    assertEquals(Optional.empty(), cloud.reclaimAt());
    assertFalse(cloud.isReclaimed());
    cloud.reclaimAt(NOW);
    cloud.reclaimAt(LATER);
    assertEquals(Optional.of(NOW), cloud.reclaimAt());
    assertTrue(cloud.isReclaimed());
  }

  @Test
  void theProvisionTimeIsThatOfDiscoveryUntilItIsKnown() {
    assertEquals(NOW, cloud.provisionedAt());
    assertTrue(cloud.provisionedAt().isBefore(LATER));
    cloud.provisionedAt(LATER);
    assertFalse(cloud.provisionedAt().isBefore(LATER));
  }

  static Stream<Named<Consumer<CloudStatus>>> departures() {
    return Stream.of(
        Named.of("released", CloudStatus::markReleasing),
        Named.of("reclaimed", cloud -> cloud.reclaimAt(LATER)),
        Named.of("terminated", CloudStatus::markTerminated));
  }

  @ParameterizedTest
  @MethodSource("departures")
  void aMachineStaysUntilItIs(Consumer<CloudStatus> departure) {
    assertTrue(cloud.isStaying());
    departure.accept(cloud);
    assertFalse(cloud.isStaying());
  }
}
