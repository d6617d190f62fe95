package org.ternhinge.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineDescription;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.schedule.Plan;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.Entry;
import org.ternhinge.wire.Json;
import org.ternhinge.zone.ZoneRecord;

/** Restoring the record of zones at the start of a leadership, and writing it. */
class ZoneCoordinatorTest {
  private final LeadershipFixture fixture = new LeadershipFixture();
  private final ZoneCoordinator zones = coordinator();

  private ZoneCoordinator coordinator() {
    TaskFailures failures = new TaskFailures(fixture.ledger, fixture.machines, 20, fixture.now());
    return new ZoneCoordinator(
        fixture.context, fixture.machines, failures, ZoneFailoverSettings.DEFAULT);
  }

  private int startsPermittedOfOne() {
    Plan plan = new Plan();
    plan.placements()
        .add(new Plan.Placement(new JobId("wk-1"), List.of(0), List.of(new MachineId("n-1"))));
    return zones.limit(plan).placements().size();
  }

  private void storeRecord(String state) {
    JsonNode value = Json.object().set("east", Json.object().put("s", state).put("p", 1.0));
    fixture.storeCore.compareAndSwap(
        new CompareAndSwap(List.of(), List.of(new Change.Put(ZoneRecord.KEY, value, 0))));
  }

  private Entry storedEntry() {
    return fixture.storeCore.get(ZoneRecord.KEY).entry().orElseThrow();
  }

  /**
   * Before the record is read, the tasks held by an earlier leader are unknown and would be started
   * out of order.
   */
  @Test
  void nothingIsPlacedBeforeRecordIsRead() {
    fixture.store.pauseReads();
    zones.recover();
    assertEquals(0, startsPermittedOfOne());
    fixture.store.resume();
    fixture.clock.runFor(0.1);
    assertEquals(1, startsPermittedOfOne());
  }

  @Test
  void unreadableRecordDelaysPlacementForBoundedTime() {
    fixture.store.pauseReads();
    zones.recover();
    fixture.clock.runFor(1.9);
    assertEquals(0, startsPermittedOfOne());
    fixture.clock.runFor(0.2);
    assertEquals(1, startsPermittedOfOne());
  }

  /** A write without the stored revision would be a conflict and end the leadership. */
  @Test
  void recordIsWrittenAtItsRevisionAndOnTransitionsOnly() {
    storeRecord("available");
    long before = storedEntry().revision().value();
    for (int i = 0; i < 4; i++) {
      Machine machine = fixture.addMachine("n-00000" + i);
      machine.setDescription(new MachineDescription("small", 0, "east", false));
    }
    fixture.store.pauseReads();
    zones.recover();
    fixture.clock.runFor(10);
    zones.check(fixture.now());
    fixture.clock.runFor(1);
    assertEquals(
        before, storedEntry().revision().value(), "nothing is written before the record is read");
    fixture.store.resume();
    fixture.clock.runFor(1);
    zones.check(fixture.now());
    fixture.clock.runFor(1);
    assertEquals("suspect", storedEntry().value().path("east").path("s").asText());
    long after = storedEntry().revision().value();
    assertTrue(after > before);
    zones.check(fixture.now());
    fixture.clock.runFor(1);
    assertEquals(
        after, storedEntry().revision().value(), "nothing is written without a transition");
  }
}
