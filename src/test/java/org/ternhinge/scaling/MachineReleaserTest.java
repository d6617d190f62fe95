package org.ternhinge.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.ledger.Keys;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.MachineId;
import org.ternhinge.store.Entry;
import org.ternhinge.wire.Json;

/** Machine releases, their records and retries. */
class MachineReleaserTest {
  private final ScalingFixture fixture = new ScalingFixture();
  private final MachineReleaser releaser = fixture.releaser;

  private void scriptAnswers(String... words) {
    for (String word : words) {
      fixture.cloud.releaseAnswers.add(ScriptedCloud.outcome(word, () -> 1));
    }
  }

  @Test
  void releaseIsSentOnceRecorded() {
    Machine machine = fixture.runningMachine("n-1");
    fixture.leadership.store.pauseWrites();
    releaser.release(machine);
    fixture.runFor(0.1);
    assertTrue(machine.cloud().isReleasing());
    assertEquals(List.of(), fixture.cloud.releaseRequests);
    fixture.leadership.store.resume();
    fixture.runFor(0.1);
    assertEquals(List.of(List.of(machine.id())), fixture.cloud.releaseRequests);
  }

  @Test
  void machineIsRemovedOnceReleaseIsAnswered() {
    Machine machine = fixture.runningMachine("n-1");
    scriptAnswers("released");
    releaser.release(machine);
    fixture.runFor(0.1);
    assertFalse(fixture.isKnown(machine.id()));
    assertTrue(machine.cloud().isTerminated());
    assertTrue(fixture.leadership.machines.wasRemoved(machine.id()));
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({"limit, 0.3", "refused, 1.5", "lost, 1.5"})
  void releaseIsRetriedUntilAnswered(String word, double delayS) {
    Machine machine = fixture.runningMachine("n-1");
    scriptAnswers(word, "released");
    releaser.release(machine);
    fixture.runFor(delayS - 0.05);
    assertEquals(1, fixture.cloud.releaseRequests.size());
    assertTrue(fixture.isKnown(machine.id()));
    fixture.runFor(0.1);
    assertEquals(2, fixture.cloud.releaseRequests.size());
    assertFalse(fixture.isKnown(machine.id()));
  }

  /** The cloud accepts few requests per second, so releases are batched. */
  @Test
  void releasesEnqueuedDuringRequestAreBatched() {
    scriptAnswers("lost");
    for (String name : List.of("n-1", "n-2", "n-3")) {
      releaser.release(fixture.runningMachine(name));
      fixture.runFor(0.1);
    }
    fixture.runFor(2);
    List<MachineId> all = List.of(new MachineId("n-1"), new MachineId("n-2"), new MachineId("n-3"));
    assertEquals(List.of(all.subList(0, 1), all), fixture.cloud.releaseRequests);
  }

  @Test
  void releaseOfEarlierLeaderIsResumed() {
    ObjectNode record = Json.object().put("n-1", true);
    releaser.resume(
        new Entry(Keys.RELEASES + "0", record, fixture.leadership.authority.termRevision()));
    Machine machine = fixture.leadership.machines.find(new MachineId("n-1")).orElseThrow();
    assertTrue(machine.cloud().isReleasing());
    assertEquals(List.of(List.of(machine.id())), fixture.cloud.releaseRequests);
  }
}
