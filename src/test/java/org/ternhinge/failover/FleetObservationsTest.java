package org.ternhinge.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineDescription;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.zone.DisplacedWork.TaskState;
import org.ternhinge.zone.ZoneObservation;

/** Counting of expected, impaired and unreported machines, and the states of displaced tasks. */
class FleetObservationsTest {
  private static final int TIER = 3;

  private final LeadershipFixture fixture = new LeadershipFixture();

  private FleetObservations observations() {
    return new FleetObservations(
        fixture.context,
        fixture.machines,
        new TaskFailures(fixture.ledger, fixture.machines, 20, fixture.now()),
        new FleetView(fixture.context, fixture.machines),
        job -> TIER,
        fixture.now());
  }

  private ZoneObservation east() {
    return observations().zones().get(0);
  }

  private Machine inEast(Machine machine) {
    machine.setDescription(new MachineDescription("small", 0, "east", false));
    return machine;
  }

  /**
   * With a heartbeat interval of 2 s, workers have 8 s to find a new leader, and heartbeats are
   * overdue after 6 s.
   */
  @ParameterizedTest(name = "heard {0}, listed {1}, leaving {2}, after {3} s")
  @CsvSource({
    "true,  false, false, 1,   1, 0, 0",
    "true,  false, false, 60,  1, 1, 0",
    "true,  false, true,  60,  0, 0, 0",
    "false, true,  false, 7.9, 0, 0, 1",
    "false, true,  false, 8.1, 1, 1, 0",
    "false, true,  true,  8.1, 0, 0, 0",
    "false, false, false, 8.1, 0, 0, 0"
  })
  void machineIsCountedByHeartbeatListingAndCloudState(
      boolean heard,
      boolean listed,
      boolean leaving,
      double afterS,
      int expected,
      int impaired,
      int unreported) {
    MachineId id = new MachineId("n-1");
    Machine machine =
        heard ? fixture.addMachine("n-1") : fixture.machines.findOrAdd(id, fixture.now());
    inEast(machine);
    if (listed) {
      machine.cloud().recordListing(fixture.now(), true);
    }
    if (leaving) {
      machine.cloud().markReleasing();
    }
    fixture.clock.runFor(afterS);
    assertEquals(new ZoneObservation(expected, impaired, unreported), east());
  }

  @Test
  void machineOfUnknownZoneIsCountedInZoneOfItsAttempts() {
    Machine machine = fixture.addMachine("n-1");
    assertEquals(new ZoneObservation(0, 0, 0), east());
    fixture.openAttempt(fixture.addJob(SubmissionJson.smallJob("wk-1", "batch", 1)), 0, machine);
    assertEquals(new ZoneObservation(1, 0, 0), east());
  }

  @Test
  void openTiersAreThoseOfAttemptsOnImpairedMachines() {
    Machine machine = inEast(fixture.addMachine("n-1"));
    fixture.openAttempt(fixture.addJob(SubmissionJson.smallJob("wk-1", "batch", 1)), 0, machine);
    assertEquals(Set.of(), observations().openTiers("east"));
    fixture.clock.runFor(60);
    assertEquals(Set.of(TIER), observations().openTiers("east"));
  }

  @Test
  void displacedTaskIsPendingUntilPlacedOrEnded() {
    Job job = fixture.addJob(SubmissionJson.smallJob("wk-1", "batch", 1));
    JobId id = job.spec().id();
    assertEquals(TaskState.PENDING, observations().state(id, 0));
    assertTrue(observations().isPlaceable(id));
    Attempt attempt = fixture.openAttempt(job, 0, fixture.addMachine("n-1"));
    assertEquals(TaskState.PLACED, observations().state(id, 0));
    fixture.ledger.close(attempt, true);
    assertEquals(TaskState.ENDED, observations().state(id, 0));
    assertEquals(TaskState.ENDED, observations().state(new JobId("wk-9"), 0));
    assertFalse(observations().isPlaceable(new JobId("wk-9")));
  }
}
