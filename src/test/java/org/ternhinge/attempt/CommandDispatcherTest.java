package org.ternhinge.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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

/** Tests when direct commands are sent, which ones, and how their outcomes are handled. */
class CommandDispatcherTest {
  private final LeadershipFixture fixture = new LeadershipFixture();
  private final Machine machine = fixture.addMachine("n-1");
  private final Job job = fixture.addJob(SubmissionJson.smallJob("wk-1", "batch", 3));

  private List<Message> messages() {
    return fixture.workers.messages();
  }

  private Heartbeat status() {
    return fixture.heartbeat(machine).build();
  }

  private boolean isOutstanding(Attempt attempt) {
    return machine.outstandingStarts().mayBeExecuted(attempt.task(), attempt.number());
  }

  /** Limits on messages in flight. */
  @Nested
  class MessagesInFlight {
    @Test
    void machineHasOneMessageInFlight() {
      fixture.openAttempt(job, 0, machine);
      Attempt second = fixture.openAttempt(job, 1, machine);
      assertEquals(1, messages().size());
      messages().get(0).execute(status());
      assertEquals(2, messages().size());
      assertEquals(second.number(), messages().get(1).commands().get(0).attempt());
    }

    @Test
    void messageOccupiesSlotUntilItsOutcome() {
      int free = fixture.dispatcher.freeSlots();
      fixture.openAttempt(job, 0, machine);
      assertEquals(free - 1, fixture.dispatcher.freeSlots());
      messages().get(0).execute(status());
      assertEquals(free, fixture.dispatcher.freeSlots());
    }

    @Test
    void commandsWaitForFreeSlot() {
      for (int i = 0; fixture.dispatcher.hasFreeSlot(); i++) {
        fixture.dispatcher.probe(fixture.addMachine("other-" + i), fixture.now());
      }
      int probes = messages().size();
      fixture.openAttempt(job, 0, machine);
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
    void queuedObsoleteStartsAreDropped() {
      fixture.openAttempt(job, 0, machine);
      Attempt stopped = fixture.openAttempt(job, 1, machine);
      stopped.requestStop(0, fixture.now());
      messages().get(0).execute(status());
      assertEquals(1, messages().size());
      assertFalse(isOutstanding(stopped));
    }

    /** The next heartbeat response contains the commands; a message would only occupy a slot. */
    @Test
    void silentWorkerGetsNoDirectCommands() {
      fixture.clock.runFor(5.1);
      Attempt attempt = fixture.openAttempt(job, 0, machine);
      assertEquals(0, messages().size());
      assertTrue(machine.outbox().isEmpty());
      assertFalse(isOutstanding(attempt));
    }

    @Test
    void probeContainsNoCommands() {
      fixture.dispatcher.probe(machine, fixture.now());
      assertEquals(List.of(), fixture.workers.lastMessage().commands());
    }
  }

  /** Handling of the outcome of a message. */
  @Nested
  class Outcomes {
    /** The network may deliver the message again; the worker rejects it if it refused it once. */
    @ParameterizedTest(name = "executed: {0}")
    @CsvSource({"true", "false"})
    void responseDeliversStatusAndSettlesOnlyRefusedStarts(boolean executed) {
      Attempt attempt = fixture.openAttempt(job, 0, machine);
      assertTrue(isOutstanding(attempt));
      Heartbeat status = status();
      if (executed) {
        messages().get(0).execute(status);
      } else {
        messages().get(0).refuse(status);
      }
      assertEquals(executed, isOutstanding(attempt));
      assertEquals(List.of(status), fixture.reportedStatuses);
    }

    @Test
    void messageCarriesTokenOfItsWorker() {
      fixture.tokens.reserve();
      fixture.clock.runFor(0.1);
      fixture.tokens.raise(machine);
      fixture.openAttempt(job, 0, machine);
      fixture.dispatcher.probe(fixture.addMachine("n-2"), fixture.now());
      assertEquals(new Term(2), messages().get(0).term());
      assertEquals(new Term(1), messages().get(1).term());
    }

    /** A connection failure does not prove that the message was not delivered. */
    @ParameterizedTest
    @EnumSource(Outcome.Reason.class)
    void undeliveredMessageSettlesItsStarts(Outcome.Reason reason) {
      Attempt attempt = fixture.openAttempt(job, 0, machine);
      messages().get(0).outcome().complete(Outcome.notApplied(reason, ""));
      assertEquals(reason == Outcome.Reason.NO_CONNECTION, isOutstanding(attempt));
    }

    @Test
    void messageWithoutResponseLeavesStartsOutstanding() {
      Attempt attempt = fixture.openAttempt(job, 0, machine);
      messages().get(0).outcome().complete(Outcome.unknown("timed out"));
      assertTrue(isOutstanding(attempt));
      assertEquals(List.of(), fixture.reportedStatuses);
    }

    @Test
    void responseFromEarlierEpochSettlesNothing() {
      Attempt attempt = fixture.openAttempt(job, 0, machine);
      machine.agent().beginEpoch(new AgentEpoch(2));
      messages().get(0).execute(status());
      assertTrue(isOutstanding(attempt));
    }

    @Test
    void failurePausesDirectCommandsForOneHeartbeat() {
      Attempt attempt = fixture.openAttempt(job, 0, machine);
      attempt.observe(AttemptState.RUNNING, fixture.now());
      messages().get(0).outcome().complete(Outcome.unknown("timed out"));
      fixture.attempts.stop(attempt, 5);
      assertEquals(1, messages().size());
      fixture.clock.runFor(2.1);
      fixture.attempts.stop(attempt, 0);
      assertEquals(2, messages().size());
    }

    @Test
    void higherTermInResponseEndsLeadership() {
      fixture.authority.expectLoss();
      fixture.openAttempt(job, 0, machine);
      messages().get(0).refuse(fixture.heartbeat(machine).fencingToken(2).build());
      assertEquals(
          new LeadershipLoss.HigherTermSeen(new Term(2)),
          fixture.authority.lossReason().orElseThrow());
      assertEquals(List.of(), fixture.reportedStatuses);
    }
  }
}
