package org.ternhinge.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.leadership.RecordingWorkers.Message;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.LeadershipLoss;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Term;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;

/** Direct commands to workers: when they are sent, which ones, and what their outcomes mean. */
class CommandDispatcherTest {
  private final LeadershipFixture fixture = new LeadershipFixture();
  private final Machine machine = fixture.machine("n-1");
  private final Job job = fixture.job(SubmissionJson.smallJob("wk-1", "batch", 3));

  private List<Message> messages() {
    return fixture.workers.messages();
  }

  private Heartbeat status() {
    return fixture.heartbeat(machine).build();
  }

  private boolean isOutstanding(Attempt attempt) {
    return machine.outstandingStarts().mayArrive(attempt.task(), attempt.number());
  }

  /** How many messages are in flight. */
  @Nested
  class MessagesInFlight {
    @Test
    void aMachineGetsOneMessageAtATime() {
      fixture.open(job, 0, machine);
      Attempt second = fixture.open(job, 1, machine);
      assertEquals(1, messages().size());
      messages().get(0).execute(status());
      assertEquals(2, messages().size());
      assertEquals(second.number(), messages().get(1).commands().get(0).attempt());
    }

    @Test
    void eachMessageTakesASlotUntilItsOutcomeIsThere() {
      int free = fixture.dispatcher.freeSlots();
      fixture.open(job, 0, machine);
      assertEquals(free - 1, fixture.dispatcher.freeSlots());
      messages().get(0).execute(status());
      assertEquals(free, fixture.dispatcher.freeSlots());
    }

    @Test
    void commandsWaitForAFreeSlot() {
      for (int i = 0; fixture.dispatcher.hasFreeSlot(); i++) {
        fixture.dispatcher.probe(fixture.machine("other-" + i), fixture.now());
      }
      int probes = messages().size();
      fixture.open(job, 0, machine);
      assertEquals(probes, messages().size());
      messages().get(0).execute(status());
      assertEquals(probes + 1, messages().size());
      assertEquals(Command.Op.START, fixture.workers.lastMessage().commands().get(0).op());
    }
  }

  /** Which commands are sent. */
  @Nested
  class Selection {
    @Test
    void startsThatBecameObsoleteWhileTheyWaitedAreDropped() {
      fixture.open(job, 0, machine);
      Attempt stopped = fixture.open(job, 1, machine);
      stopped.stop(0, fixture.now());
      messages().get(0).execute(status());
      assertEquals(1, messages().size());
      assertFalse(isOutstanding(stopped));
    }

    /** The answer to its next heartbeat carries them; a message would occupy a slot in vain. */
    @Test
    void aSilentWorkerGetsNoDirectCommands() {
      fixture.clock.runFor(5.1);
      Attempt attempt = fixture.open(job, 0, machine);
      assertEquals(0, messages().size());
      assertTrue(machine.outbox().isEmpty());
      assertFalse(isOutstanding(attempt));
    }

    @Test
    void aProbeCarriesNoCommands() {
      fixture.dispatcher.probe(machine, fixture.now());
      assertEquals(List.of(), fixture.workers.lastMessage().commands());
    }
  }

  /** What the outcome of a message means. */
  @Nested
  class Outcomes {
    @Test
    void aResponseSettlesTheStartsAndBringsTheStatus() {
      Attempt attempt = fixture.open(job, 0, machine);
      assertTrue(isOutstanding(attempt));
      Heartbeat status = status();
      messages().get(0).execute(status);
      assertFalse(isOutstanding(attempt));
      assertEquals(List.of(status), fixture.statuses);
    }

    /** A failed connection is not taken as proof that the message does not arrive. */
    @ParameterizedTest
    @EnumSource(Outcome.Reason.class)
    void aMessageThatCertainlyDidNotArriveSettlesItsStarts(Outcome.Reason reason) {
      Attempt attempt = fixture.open(job, 0, machine);
      messages().get(0).outcome().complete(Outcome.notApplied(reason, ""));
      assertEquals(reason == Outcome.Reason.NO_CONNECTION, isOutstanding(attempt));
    }

    @Test
    void aMessageWithoutAResponseLeavesItsStartsOutstanding() {
      Attempt attempt = fixture.open(job, 0, machine);
      messages().get(0).outcome().complete(Outcome.unknown("timed out"));
      assertTrue(isOutstanding(attempt));
      assertEquals(List.of(), fixture.statuses);
    }

    @Test
    void aResponseFromAnEarlierEpochSettlesNothing() {
      Attempt attempt = fixture.open(job, 0, machine);
      machine.agent().beginEpoch(new AgentEpoch(2));
      messages().get(0).execute(status());
      assertTrue(isOutstanding(attempt));
    }

    @Test
    void afterAFailureDirectCommandsPauseForOneHeartbeat() {
      Attempt attempt = fixture.open(job, 0, machine);
      attempt.observe(AttemptState.RUNNING, fixture.now());
      messages().get(0).outcome().complete(Outcome.unknown("timed out"));
      fixture.attempts.stop(attempt, 5);
      assertEquals(1, messages().size());
      fixture.clock.runFor(2.1);
      fixture.attempts.stop(attempt, 0);
      assertEquals(2, messages().size());
    }

    @Test
    void aWorkerThatHasSeenAHigherTermEndsTheLeadership() {
      fixture.authority.expectLoss();
      fixture.open(job, 0, machine);
      messages().get(0).refuse(fixture.heartbeat(machine).fencingToken(2).build());
      assertEquals(
          new LeadershipLoss.HigherTermSeen(new Term(2)),
          fixture.authority.lossReason().orElseThrow());
      assertEquals(List.of(), fixture.statuses);
    }
  }
}
