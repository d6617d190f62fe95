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
import org.ternhinge.attempt.AttemptObserver;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.heartbeat.HeartbeatResult.Answered;
import org.ternhinge.heartbeat.HeartbeatResult.NotAnswered;
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
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.Term;
import org.ternhinge.scaling.MachineProvisioner;
import org.ternhinge.sim.Specs;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.TaskState;

/** The steps of a heartbeat, from the fence check to the commands of its answer. */
class HeartbeatProcessorTest {
  private static final double LEASE_S =
      LeadershipFixture.WORKER_SETTINGS.leaseS() * (1 + Settings.MAX_CLOCK_DRIFT)
          + Tuning.DEFAULT.marginS();

  private final LeadershipFixture fixture = new LeadershipFixture();
  private final HeartbeatProcessor processor = processor();
  private final Machine machine = fixture.machine("n-1");
  private final Job job = fixture.job(Specs.json("wk-1", "batch", 2));

  private HeartbeatProcessor processor() {
    ReachabilityMonitor reachability =
        new ReachabilityMonitor(fixture.machines, fixture.context.rounds());
    AgentStatusUpdater updater =
        new AgentStatusUpdater(
            fixture.context,
            reachability,
            fixture.reportedTasks(),
            observer(),
            fixture.attempts,
            firstHeartbeats());
    return new HeartbeatProcessor(fixture.context, fixture.machines, updater, reachability);
  }

  private AttemptObserver observer() {
    TaskFailures failures = new TaskFailures(fixture.ledger, fixture.machines, 20, fixture.now());
    return new AttemptObserver(
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
    return assertInstanceOf(Answered.class, process(heartbeat)).commands();
  }

  private SteadyTime leaseFromNow() {
    return fixture.now().plusSeconds(LEASE_S);
  }

  /** Heartbeats that must not be answered. */
  @Nested
  class FenceCheckAndAdmission {
    @Test
    void aHigherFencingTokenEndsTheLeadership() {
      fixture.authority.expectLoss();
      assertEquals(
          NotAnswered.HIGHER_TERM, process(fixture.heartbeat(machine).fencingToken(2).build()));
      assertEquals(
          new LeadershipLoss.HigherTermSeen(new Term(2)),
          fixture.authority.lossReason().orElseThrow());
    }

    @Test
    void aRemovedMachineGetsNoAnswerAndIsNotAddedAgain() {
      Heartbeat late = fixture.heartbeat(machine).build();
      fixture.machines.remove(machine.id());
      assertEquals(NotAnswered.MACHINE_REMOVED, process(late));
      assertEquals(Optional.empty(), fixture.machines.find(machine.id()));
    }

    @Test
    void aTerminatedMachineGetsNoAnswer() {
      machine.cloud().markTerminated();
      assertEquals(NotAnswered.MACHINE_TERMINATED, process(fixture.heartbeat(machine).build()));
      assertFalse(machine.agent().wasAnswered());
    }

    /** The worker may be about to come back, so its machine is kept for a lease more. */
    @ParameterizedTest(name = "epoch {0}, ended up to {1}")
    @CsvSource({"0, 0", "1, 1", "1, 2"})
    void anEndedEpochGetsNoAnswerButKeepsTheMachine(long epoch, long lastEnded) {
      machine.agent().endEpochs(new AgentEpoch(lastEnded));
      assertEquals(
          NotAnswered.EPOCH_ENDED, process(fixture.heartbeat(machine).epoch(epoch).build()));
      assertEquals(leaseFromNow(), machine.agent().leaseExpiry());
      assertFalse(machine.agent().wasAnswered());
    }

    @Test
    void anUnknownMachineIsAdded() {
      MachineId id = new MachineId("n-2");
      Machine ofAnotherLeader = new LeadershipFixture().machine("n-2");
      assertEquals(List.of(), commands(fixture.heartbeat(ofAnotherLeader).build()));
      assertEquals("small", fixture.machines.find(id).orElseThrow().description().typeName());
      assertEquals("east", fixture.machines.find(id).orElseThrow().description().zoneName());
    }
  }

  /** Heartbeats that were overtaken. */
  @Nested
  class OrderOfMessages {
    @Test
    void anOutdatedHeartbeatChangesNothingButIsAnsweredWithStops() {
      Attempt attempt = fixture.open(job, 0, machine);
      process(fixture.heartbeat(machine).sequence(5).showing(attempt, TaskState.RUNNING).build());
      SteadyTime received = fixture.now();
      attempt.stop(0, received);
      fixture.clock.runFor(1);
      Heartbeat outdated = fixture.heartbeat(machine).sequence(4).build();
      assertEquals(
          List.of(new Command(Command.Op.STOP, attempt.task(), attempt.number(), 0)),
          commands(outdated));
      assertEquals(attempt, job.open(0));
      assertEquals(received, machine.agent().lastHeartbeat());
      assertEquals(received.plusSeconds(LEASE_S), machine.agent().leaseExpiry());
    }
  }

  /** A heartbeat of a newer epoch. */
  @Nested
  class EpochChange {
    @Test
    void aNewerEpochClosesTheAttemptsOfEarlierOnes() {
      Attempt attempt = fixture.open(job, 0, machine);
      assertTrue(machine.outstandingStarts().mayArrive(attempt.task(), attempt.number()));
      process(fixture.heartbeat(machine).epoch(2).build());
      assertNull(job.open(0));
      assertEquals(new AgentEpoch(2), machine.agent().epoch());
      assertFalse(machine.outstandingStarts().mayArrive(attempt.task(), attempt.number()));
    }
  }

  /** What a heartbeat tells of its machine. */
  @Nested
  class Attributes {
    @Test
    void anUnusableEndpointLeavesTheOneBefore() {
      var before = machine.agent().endpoint();
      process(fixture.heartbeat(machine).endpoint("no endpoint").build());
      assertEquals(before, machine.agent().endpoint());
    }

    @Test
    void theFirstHeartbeatRequestsARound() {
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
      Attempt attempt = fixture.open(fixture.job(json), 0, machine);
      attempt.observe(AttemptState.RUNNING, fixture.now());
      return attempt;
    }

    private void notice(Attempt attempt, long sequence, double seconds) {
      process(
          fixture
              .heartbeat(machine)
              .sequence(sequence)
              .showing(attempt, TaskState.RUNNING)
              .reclaimNotice(seconds)
              .build());
    }

    @Test
    void aTaskThatSavesCheckpointsIsStoppedWithTimeToSave() {
      Attempt attempt =
          attempt(Specs.json("wk-2", "batch", 1).put("vista_bil_s", 60.0).put("vistun_s", 4.0));
      notice(attempt, 1, 30);
      assertEquals(5, attempt.stopGraceS());
      assertEquals(fixture.now().plusSeconds(30), machine.cloud().reclaimAt().orElseThrow());
    }

    @Test
    void aTaskThatCanNotSaveRunsOn() {
      Attempt attempt = attempt(Specs.json("wk-2", "batch", 1));
      notice(attempt, 1, 30);
      assertFalse(attempt.stopping());
    }

    @Test
    void onlyTheFirstNoticeCounts() {
      Attempt attempt = attempt(Specs.json("wk-2", "batch", 1));
      notice(attempt, 1, 30);
      SteadyTime reclaimAt = machine.cloud().reclaimAt().orElseThrow();
      fixture.clock.runFor(1);
      notice(attempt, 2, 28);
      assertEquals(reclaimAt, machine.cloud().reclaimAt().orElseThrow());
    }
  }

  /** What a heartbeat proves of attempts. */
  @Nested
  class Reconciliation {
    @Test
    void aReportedEndClosesTheAttempt() {
      Attempt attempt = fixture.open(job, 0, machine);
      process(
          fixture
              .heartbeat(machine)
              .showingEnd(attempt.task(), attempt.number(), EndReason.DONE)
              .build());
      assertNull(job.open(0));
      assertTrue(job.isDone(0));
    }

    @Test
    void anAttemptThatIsNoLongerShownIsClosed() {
      Attempt attempt = fixture.open(job, 0, machine);
      process(fixture.heartbeat(machine).sequence(1).showing(attempt, TaskState.RUNNING).build());
      assertEquals(attempt, job.open(0));
      process(fixture.heartbeat(machine).sequence(2).build());
      assertNull(job.open(0));
      assertFalse(job.isDone(0));
    }
  }

  /** Workers that answers do not reach. */
  @Nested
  class MissedAnswers {
    /** An answer carries the term, which the next heartbeat has to show. */
    @ParameterizedTest(name = "{0} heartbeats that show term {1}")
    @CsvSource({"3, 0, false", "4, 0, true", "9, 1, false"})
    void threeAnswersInARowWithoutEffectMakeAWorkerUnreachable(
        int heartbeats, long token, boolean unreachable) {
      for (int i = 1; i <= heartbeats; i++) {
        process(fixture.heartbeat(machine).sequence(i).fencingToken(token).build());
      }
      assertEquals(unreachable, machine.health().reachability().unreachable());
    }
  }

  /** What an answer does. */
  @Nested
  class LeaseRenewalAndCommands {
    @Test
    void anAnswerRenewsTheLease() {
      fixture.clock.runFor(3);
      process(fixture.heartbeat(machine).build());
      assertEquals(leaseFromNow(), machine.agent().leaseExpiry());
      assertTrue(machine.agent().wasAnsweredIn(fixture.authority.term()));
    }

    @ParameterizedTest(name = "commands permitted: {0}")
    @CsvSource({"true, 1", "false, 0"})
    void commandsAreGivenOnlyWherePermitted(boolean mayCommand, int expected) {
      fixture.open(job, 0, machine);
      HeartbeatResult result = processor.process(fixture.heartbeat(machine).build(), mayCommand);
      assertEquals(expected, assertInstanceOf(Answered.class, result).commands().size());
      assertEquals(leaseFromNow(), machine.agent().leaseExpiry());
    }
  }
}
