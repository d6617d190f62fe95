package org.ternhinge.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineDescription;
import org.ternhinge.model.MachineId;
import org.ternhinge.wire.ListedMachine;

/** Selection of the listed machines to which a new leader announces its term, and the timing. */
class ListedTermAnnouncerTest {
  private static final List<String> ZONES = List.of("east", "west");

  private final ScalingFixture fixture = new ScalingFixture();
  private final ListedTermAnnouncer announcer = fixture.listedTermAnnouncer();
  private final List<Machine> machines = new ArrayList<>();

  private void add(int count, String zone) {
    for (int i = 0; i < count; i++) {
      MachineId id = new MachineId("n-" + machines.size());
      Machine machine = fixture.leadership.machines.findOrAdd(id, fixture.start);
      machine.setDescription(MachineDescription.of("small", zone, false, ZONES));
      machines.add(machine);
    }
  }

  /** Processes a listing of all machines; returns how many were announced to since the start. */
  private long processListing() {
    announcer.beginListing(fixture.leadership.now());
    for (Machine machine : machines) {
      announcer.announceIfDue(machine, listed(machine));
    }
    return machines.stream().filter(machine -> machine.agent().isTermAnnounced()).count();
  }

  private static ListedMachine listed(Machine machine) {
    return new ListedMachine(
        machine.id(),
        Optional.of("10.0.1.1:9000"),
        "small",
        machine.description().zoneName(),
        false,
        ListedMachine.State.RUNNING,
        60);
  }

  @Test
  void termIsAnnouncedToOneWorkerPerZoneAfterElection() {
    add(3, "east");
    add(3, "west");
    assertEquals(2, processListing());
    assertEquals(2, processListing(), "announcements after the next listing");
  }

  @Test
  void zoneListedLaterGetsAnnouncementImmediately() {
    add(3, "east");
    assertEquals(1, processListing());
    add(3, "west");
    assertEquals(2, processListing());
  }

  @Test
  void workerThatDiscoveredLeaderIsSkipped() {
    add(3, "east");
    machines.get(0).agent().recordMessage(fixture.leadership.now());
    assertEquals(1, processListing());
    assertFalse(machines.get(0).agent().isTermAnnounced());
  }

  @Test
  void listingAfterDiscoveryPeriodUsesHalfOfFreeSlots() {
    int slots = fixture.leadership.dispatcher.freeSlots();
    add(2 * slots, "east");
    assertEquals(1, processListing());
    double interval = fixture.context.services().settings().workers().heartbeatIntervalS();
    fixture.runFor(2 * interval);
    int free = fixture.leadership.dispatcher.freeSlots();
    assertEquals(1 + free / 2, processListing());
  }
}
