package org.ternhinge.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.attempt.AttemptStatusUpdater;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.heartbeat.HeartbeatResult.Accepted;
import org.ternhinge.heartbeat.HeartbeatResult.Rejected;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.AttemptState;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.LeadershipLoss;
import org.ternhinge.machine.BootTimes;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Term;
import org.ternhinge.scaling.MachineProvisioner;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.TaskState;

/** Tests heartbeat processing, from the fence check to the commands in the response. */
class HeartbeatProcessorTest {
  private static final double LEASE_S =
      LeadershipFixture.WORKER_SETTINGS.leaseS() * (1 + Settings.MAX_CLOCK_DRIFT)
          + Tuning.DEFAULT.marginS();

  private final LeadershipFixture fixture = new LeadershipFixture();
  private final HeartbeatProcessor processor = processor();
  private final Machine machine = fixture.addMachine("n-1");
  private final Job job = fixture.addJob(SubmissionJson.smallJob("wk-1", "batch", 2));

  private HeartbeatProcessor processor() {
    ReachabilityMonitor reachability =
        new ReachabilityMonitor(fixture.machines, fixture.context.rounds());
    AgentStatusUpdater updater =
        new AgentStatusUpdater(
            fixture.context,
            reachability,
            fixture.reportedTasks(),
            attemptUpdater(),
            fixture.attempts,
            firstHeartbeats());
    return new HeartbeatProcessor(
        fixture.context,
        fixture.machines,
        updater,
        reachability,
        fixture.tokens,
        fixture.startFence);
  }

  private AttemptStatusUpdater attemptUpdater() {
    TaskFailures failures = new TaskFailures(fixture.ledger, fixture.machines, 20, fixture.now());
    return new AttemptStatusUpdater(
        fixture.attempts, fixture.ledger, machineTypes(), failures, new Metrics());
  }

  private FirstHeartbeatHandler firstHeartbeats() {
    MachineProvisioner provisioner = new MachineProvisioner(fixture.context, fixture.machines);
    return new FirstHeartbeatHandler(
        fixture.context,
        provisioner,
        new BootTimes(fixture.machines, machineTypes(), fixture.now()));
  }

  private MachineTypeCatalog machineTypes() {
    return new MachineTypeCatalog(null, fixture.executor, List.of());
  }

  private HeartbeatResult process(Heartbeat heartbeat) {
    return processor.process(heartbeat, true);
  }

  private List<Command> commands(Heartbeat heartbeat) {
    return assertInstanceOf(Accepted.class, process(heartbeat)).commands();
  }

  private MonotonicTime leaseFromNow() {
    return fixture.now().plusSeconds(LEASE_S);
  }

  /** Heartbeats that get no response, and unknown machines. */
  @Nested
  class FenceCheckAndAdmission {
    @Test
    void higherFencingTokenEndsLeadership() {
      fixture.authority.expectLoss();
      assertEquals(
          Rejected.HIGHER_TERM, process(fixture.heartbeat(machine).fencingToken(2).build()));
      assertEquals(
          new LeadershipLoss.HigherTermSeen(new Term(2)),
          fixture.authority.lossReason().orElseThrow());
    }

    @Test
    void removedMachineIsRejectedAndNotAddedAgain() {
      Heartbeat delayed = fixture.heartbeat(machine).build();
      fixture.machines.remove(machine.id());
      assertEquals(Rejected.MACHINE_REMOVED, process(delayed));
      assertEquals(Optional.empty(), fixture.machines.find(machine.id()));
    }

    @Test
    void terminatedMachineIsRejected() {
      machine.cloud().markTerminated();
      assertEquals(Rejected.MACHINE_TERMINATED, process(fixture.heartbeat(machine).build()));
      assertFalse(machine.agent().wasAnswered());
    }

    /** The worker may be about to reconnect, so its machine is kept for another lease. */
    @ParameterizedTest(name = "epoch {0}, ended up to {1}")
    @CsvSource({"0, 0", "1, 1", "1, 2"})
    void endedEpochIsRejectedButMachineIsKept(long epoch, long lastEnded) {
      machine.agent().endEpochsUpTo(new AgentEpoch(lastEnded));
      assertEquals(Rejected.EPOCH_ENDED, process(fixture.heartbeat(machine).epoch(epoch).build()));
      assertEquals(leaseFromNow(), machine.agent().leaseExpiry());
      assertFalse(machine.agent().wasAnswered());
    }

    @Test
    void unknownMachineIsAdded() {
      MachineId id = new MachineId("n-2");
      Machine sameMachineElsewhere = new LeadershipFixture().addMachine("n-2");
      assertEquals(List.of(), commands(fixture.heartbeat(sameMachineElsewhere).build()));
      assertEquals("small", fixture.machines.find(id).orElseThrow().description().typeName());
      assertEquals("east", fixture.machines.find(id).orElseThrow().description().zoneName());
    }
  }

  /** Heartbeats that arrive out of order. */
  @Nested
  class MessageOrder {
    @Test
    void outdatedHeartbeatIsIgnoredButGetsStops() {
      Attempt attempt = fixture.openAttempt(job, 0, machine);
      process(fixture.heartbeat(machine).sequence(5).withTask(attempt, TaskState.RUNNING).build());
      MonotonicTime received = fixture.now();
      attempt.requestStop(0, received);
      fixture.clock.runFor(1);
      Heartbeat outdated = fixture.heartbeat(machine).sequence(4).build();
      assertEquals(
          List.of(new Command(Command.Op.STOP, attempt.task(), attempt.number(), 0)),
          commands(outdated));
      assertEquals(attempt, job.openAttempt(0));
      assertEquals(received, machine.agent().lastMessageAt());
      assertEquals(received.plusSeconds(LEASE_S), machine.agent().leaseExpiry());
    }
  }

  /** A heartbeat of a newer epoch. */
  @Nested
  class EpochChange {
    @Test
    void newerEpochClosesAttemptsOfEarlierEpochs() {
      Attempt attempt = fixture.openAttempt(job, 0, machine);
      assertTrue(machine.outstandingStarts().mayBeExecuted(attempt.task(), attempt.number()));
      process(fixture.heartbeat(machine).epoch(2).build());
      assertNull(job.openAttempt(0));
      assertEquals(new AgentEpoch(2), machine.agent().epoch());
      assertFalse(machine.outstandingStarts().mayBeExecuted(attempt.task(), attempt.number()));
    }
  }

  /** Machine attributes in a heartbeat. */
  @Nested
  class MachineAttributesInHeartbeat {
    @Test
    void invalidEndpointKeepsPreviousEndpoint() {
      var before = machine.agent().endpoint();
      process(fixture.heartbeat(machine).endpoint("no endpoint").build());
      assertEquals(before, machine.agent().endpoint());
    }

    @Test
    void onlyFirstHeartbeatRequestsRound() {
      Machine unheard = fixture.machines.findOrAdd(new MachineId("n-2"), fixture.now());
      process(fixture.heartbeat(unheard).epoch(1).sequence(1).build());
      assertEquals(1, fixture.roundsRequested);
      process(fixture.heartbeat(unheard).epoch(1).sequence(2).build());
      assertEquals(1, fixture.roundsRequested);
    }
  }

  /** Eviction from a spot machine that the cloud is about to reclaim. */
  @Nested
  class ReclaimNotice {
    private Attempt attempt(ObjectNode json) {
      Attempt attempt = fixture.openAttempt(fixture.addJob(json), 0, machine);
      attempt.observe(AttemptState.RUNNING, fixture.now());
      return attempt;
    }

    private void sendNotice(Attempt attempt, long sequence, double seconds) {
      process(
          fixture
              .heartbeat(machine)
              .sequence(sequence)
              .withTask(attempt, TaskState.RUNNING)
              .reclaimNotice(seconds)
              .build());
    }

    @Test
    void taskWithCheckpointsIsStoppedWithGrace() {
      Attempt attempt =
          attempt(
              SubmissionJson.smallJob("wk-2", "batch", 1)
                  .put("vista_bil_s", 60.0)
                  .put("vistun_s", 4.0));
      sendNotice(attempt, 1, 30);
      assertEquals(5, attempt.stopGraceS());
      assertEquals(fixture.now().plusSeconds(30), machine.cloud().reclaimAt().orElseThrow());
    }

    @Test
    void taskWithoutCheckpointsKeepsRunning() {
      Attempt attempt = attempt(SubmissionJson.smallJob("wk-2", "batch", 1));
      sendNotice(attempt, 1, 30);
      assertFalse(attempt.isStopRequested());
    }

    @Test
    void onlyFirstNoticeHasEffect() {
      Attempt attempt = attempt(SubmissionJson.smallJob("wk-2", "batch", 1));
      sendNotice(attempt, 1, 30);
      MonotonicTime reclaimAt = machine.cloud().reclaimAt().orElseThrow();
      fixture.clock.runFor(1);
      sendNotice(attempt, 2, 28);
      assertEquals(reclaimAt, machine.cloud().reclaimAt().orElseThrow());
    }
  }

  /** Closing of attempts by a heartbeat. */
  @Nested
  class Reconciliation {
    @Test
    void reportedEndClosesAttempt() {
      Attempt attempt = fixture.openAttempt(job, 0, machine);
      process(
          fixture
              .heartbeat(machine)
              .withEndedTask(attempt.task(), attempt.number(), EndReason.DONE)
              .build());
      assertNull(job.openAttempt(0));
      assertTrue(job.isDone(0));
    }

    @Test
    void attemptNoLongerReportedIsClosed() {
      Attempt attempt = fixture.openAttempt(job, 0, machine);
      process(fixture.heartbeat(machine).sequence(1).withTask(attempt, TaskState.RUNNING).build());
      assertEquals(attempt, job.openAttempt(0));
      process(fixture.heartbeat(machine).sequence(2).build());
      assertNull(job.openAttempt(0));
      assertFalse(job.isDone(0));
    }
  }

  /** Detection of workers that do not receive responses. */
  @Nested
  class MissedResponses {
    /** A response contains the term, which the next heartbeat must report. */
    @ParameterizedTest(name = "{0} heartbeats that report term {1}")
    @CsvSource({"3, 0, false", "4, 0, true", "9, 1, false"})
    void workerIsUnreachableAfterThreeMissedResponses(
        int heartbeats, long token, boolean unreachable) {
      for (int i = 1; i <= heartbeats; i++) {
        process(fixture.heartbeat(machine).sequence(i).fencingToken(token).build());
      }
      assertEquals(unreachable, machine.health().reachability().isUnreachable());
    }
  }

  /** Effects of a response. */
  @Nested
  class LeaseRenewalAndCommands {
    @Test
    void responseRenewsLease() {
      fixture.clock.runFor(3);
      process(fixture.heartbeat(machine).build());
      assertEquals(leaseFromNow(), machine.agent().leaseExpiry());
      assertTrue(machine.agent().wasAnsweredIn(fixture.authority.term()));
    }

    @ParameterizedTest(name = "may command: {0}")
    @CsvSource({"true, 1", "false, 0"})
    void commandsAreSentOnlyIfPermitted(boolean mayCommand, int expected) {
      fixture.openAttempt(job, 0, machine);
      HeartbeatResult result = processor.process(fixture.heartbeat(machine).build(), mayCommand);
      assertEquals(expected, assertInstanceOf(Accepted.class, result).commands().size());
      assertEquals(leaseFromNow(), machine.agent().leaseExpiry());
    }
  }
}
