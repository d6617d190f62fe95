package org.ternhinge.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.SteadyTime;

/** The states of zones, from scripts of impaired machines by time. */
class ZoneHealthTest {
  private static final double LEASE_S = 24;
  private static final int MACHINES = 20;
  private static final ZoneFailoverSettings SETTINGS = ZoneFailoverSettings.DEFAULT;

  private final FleetAssessment assessment = new FleetAssessment(SETTINGS, LEASE_S);
  private List<ZoneHealth> zones = new ArrayList<>();
  private SteadyTime now = new SteadyTime(0);
  private final List<String> states = new ArrayList<>();

  private void begin(int count) {
    for (int i = 0; i < count; i++) {
      zones.add(ZoneHealth.available(now));
    }
  }

  /** Advances the time in steps of half a second and records each new state of the first zone. */
  private void run(double seconds, int... impaired) {
    List<ZoneObservation> observations = new ArrayList<>();
    for (int zone = 0; zone < zones.size(); zone++) {
      observations.add(new ZoneObservation(MACHINES, zone < impaired.length ? impaired[zone] : 0));
    }
    run(seconds, observations);
  }

  private void run(double seconds, List<ZoneObservation> observations) {
    for (double t = 0; t < seconds; t += 0.5) {
      now = now.plusSeconds(0.5);
      ZoneState before = zones.get(0).state();
      zones = assessment.assess(zones, observations, now);
      if (zones.get(0).state() != before) {
        states.add(zones.get(0).state().word());
      }
    }
  }

  private ZoneState state(int zone) {
    return zones.get(zone).state();
  }

  @Test
  void aLostZoneIsSuspectAtOnceAndReturnsInSteps() {
    begin(3);
    run(10);
    assertEquals(ZoneState.AVAILABLE, state(0));
    run(0.5, 20);
    assertEquals(ZoneState.SUSPECT, state(0));
    run(60, 20);
    assertEquals(ZoneState.UNAVAILABLE, state(0));
    run(SETTINGS.detection().settleS() - 1);
    assertEquals(ZoneState.UNAVAILABLE, state(0), "it has to be well for a while");
    run(2);
    assertEquals(ZoneState.RECOVERING, state(0));
    run(SETTINGS.pace().stepS() + 0.5);
    assertEquals(1, zones.get(0).step());
    run(SETTINGS.pace().stepS() * SETTINGS.pace().steps());
    assertEquals(List.of("suspect", "unavailable", "recovering", "available"), states);
  }

  /** A share between the thresholds changes nothing for good. */
  @ParameterizedTest(name = "{0} of 20 impaired for {1} s")
  @CsvSource({
    "1, 600, AVAILABLE",
    "5, 600, AVAILABLE",
    "6, 1, SUSPECT",
    "10, 5, SUSPECT",
    "10, 30, AVAILABLE",
    "15, 5, SUSPECT",
    "15, 30, AVAILABLE",
    "16, 3, SUSPECT",
    "16, 6, UNAVAILABLE",
    "20, 6, UNAVAILABLE"
  })
  void theShareOfImpairedMachinesDecides(int impaired, double seconds, ZoneState expected) {
    begin(3);
    run(seconds, impaired);
    assertEquals(expected, state(0));
  }

  @Test
  void halfAZoneCountsAsSingleFailuresAndFurtherLossesAreDetected() {
    begin(3);
    run(30, 10);
    assertEquals(ZoneState.AVAILABLE, state(0), "its healthy half takes work");
    run(5, 12);
    assertEquals(ZoneState.AVAILABLE, state(0), "two more are two more");
    run(8, 19);
    assertEquals(ZoneState.UNAVAILABLE, state(0), "nearly all of the rest is gone");
  }

  /** All zones at once mean the leader's own links; most of them at once are in doubt. */
  @ParameterizedTest(name = "{0} zones, impaired {1} {2} {3}, {4} s")
  @CsvSource({
    "3, 20, 20, 20, 600, SUSPECT",
    "2, 20, 20, 0, 600, SUSPECT",
    "1, 20, 0, 0, 600, SUSPECT",
    "3, 20, 20, 0, 20, SUSPECT",
    "3, 20, 20, 0, 26, UNAVAILABLE",
    "3, 20, 0, 0, 6, UNAVAILABLE",
    "2, 20, 0, 0, 6, UNAVAILABLE"
  })
  void lostLinksOfTheLeaderAreDistinguishedFromLostZones(
      int count, int first, int second, int third, double seconds, ZoneState expected) {
    begin(count);
    run(seconds, first, second, third);
    assertEquals(expected, state(0));
  }

  @Test
  void zonesThatAreLostOneAfterTheOtherAreBothUnavailable() {
    begin(3);
    run(20, 20);
    run(6, 20, 20);
    assertEquals(ZoneState.UNAVAILABLE, state(0));
    assertEquals(ZoneState.UNAVAILABLE, state(1));
    assertEquals(ZoneState.AVAILABLE, state(2));
  }

  @Test
  void aZoneThatFlapsIsSuppressedForABoundedTime() {
    begin(3);
    run(15, 20);
    run(12);
    assertEquals(ZoneState.RECOVERING, state(0), "once is no flap");
    run(15, 20);
    assertTrue(zones.get(0).suppressed(), "twice within a minute is one");
    run(SETTINGS.detection().settleS() + 2);
    assertEquals(ZoneState.UNAVAILABLE, state(0), "well, but still suppressed");
    for (int i = 0; i < 20; i++) {
      run(15, 20);
      run(2);
    }
    assertTrue(zones.get(0).penalty().value() <= SETTINGS.flapDamping().max());
    // Half-life 30 s, from 2.5 to 0.75: less than two, after which it has been well for long.
    double waited = 0;
    while (state(0) == ZoneState.UNAVAILABLE) {
      run(0.5);
      waited += 0.5;
    }
    assertTrue(waited > SETTINGS.detection().settleS() && waited < 53, "out of use for " + waited);
  }

  @Test
  void aLossDuringRecoveryMakesTheZoneSuspectAgain() {
    begin(3);
    run(15, 20);
    run(18);
    assertEquals(ZoneState.RECOVERING, state(0));
    assertTrue(zones.get(0).step() >= 1);
    run(1, 8);
    assertEquals(ZoneState.SUSPECT, state(0));
    assertEquals(0, zones.get(0).step());
  }

  /** Machines whose first heartbeat is not due yet make a zone neither well nor lost. */
  @Test
  void aNewLeaderDrawsNoConclusionFromMachinesNotHeardYet() {
    begin(3);
    run(15, 20);
    List<ZoneObservation> unheard =
        List.of(
            new ZoneObservation(0, 0, MACHINES),
            new ZoneObservation(MACHINES, 0),
            new ZoneObservation(MACHINES, 0));
    run(120, unheard);
    assertEquals(ZoneState.UNAVAILABLE, state(0));
    run(SETTINGS.detection().settleS() + 1);
    assertEquals(ZoneState.RECOVERING, state(0));
  }

  /** A list of machines that lags or is empty only changes the number of expected ones. */
  @Test
  void aZoneWithoutMachinesRecoversAfterAWhile() {
    begin(2);
    run(15, 20);
    List<ZoneObservation> gone =
        List.of(new ZoneObservation(0, 0), new ZoneObservation(MACHINES, 0));
    run(SETTINGS.detection().settleS() + SETTINGS.release().tierHoldS() + 1, gone);
    assertEquals(ZoneState.RECOVERING, state(0));
    begin(1);
    List<ZoneObservation> few =
        List.of(new ZoneObservation(1, 1), new ZoneObservation(MACHINES, 0), gone.get(0));
    zones.set(0, ZoneHealth.available(now));
    run(60, few);
    assertEquals(ZoneState.AVAILABLE, state(0), "one machine is no zone");
  }
}
