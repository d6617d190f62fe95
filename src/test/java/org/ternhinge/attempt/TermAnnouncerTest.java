package org.ternhinge.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.MachineId;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.ListedMachine;

/** Tests announcements of the term to workers that have not sent a heartbeat. */
class TermAnnouncerTest {
  private final LeadershipFixture fixture = new LeadershipFixture();
  private final List<Heartbeat> statuses = new ArrayList<>();
  private final TermAnnouncer announcer =
      new TermAnnouncer(
          fixture.authority,
          fixture.dispatcher,
          (machine, status, origin, now) -> {
            statuses.add(status);
            return AgentStatusSink.Result.APPLIED;
          },
          fixture.clock);
  private final Machine unheard = fixture.machines.findOrAdd(new MachineId("n-1"), fixture.now());

  private static ListedMachine listed(String endpoint, ListedMachine.State state) {
    return new ListedMachine(
        new MachineId("n-1"), Optional.ofNullable(endpoint), "small", "east", false, state, 10);
  }

  @ParameterizedTest(name = "endpoint {0}, {1}")
  @CsvSource({
    "10.0.1.1:9000, RUNNING, true",
    "10.0.1.1:9000, BOOTING, false",
    "10.0.1.1:9000, FAILED,  false",
    "no endpoint,   RUNNING, false",
    ",              RUNNING, false"
  })
  void onlyRunningMachineWithEndpointGetsAnnouncement(
      String endpoint, ListedMachine.State state, boolean announced) {
    assertEquals(announced, announcer.announce(unheard, listed(endpoint, state)));
    assertEquals(announced ? 1 : 0, fixture.workers.messages().size());
  }

  @Test
  void workerThatSentHeartbeatGetsNoAnnouncement() {
    Machine heard = fixture.addMachine("n-2");
    assertFalse(announcer.announce(heard, listed("10.0.1.1:9000", ListedMachine.State.RUNNING)));
    assertEquals(List.of(), fixture.workers.messages());
  }

  @Test
  void refusedEpochIsRetriedOnceWithWorkersEpoch() {
    assertTrue(announcer.announce(unheard, listed("10.0.1.1:9000", ListedMachine.State.RUNNING)));
    Heartbeat refusal = fixture.heartbeat(unheard).epoch(7).build();
    fixture.workers.lastMessage().refuse(refusal);
    assertEquals(2, fixture.workers.messages().size());
    assertEquals(new AgentEpoch(7), fixture.workers.lastMessage().epoch());
    fixture.workers.lastMessage().refuse(refusal);
    assertEquals(2, fixture.workers.messages().size());
    assertEquals(List.of(refusal, refusal), statuses);
  }
}
