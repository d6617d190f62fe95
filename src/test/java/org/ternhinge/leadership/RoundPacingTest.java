package org.ternhinge.leadership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ternhinge.failover.ZoneControl;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.round.ArrivalRates;
import org.ternhinge.round.FleetState;
import org.ternhinge.round.PlanExecutor;
import org.ternhinge.round.SchedulingRounds;
import org.ternhinge.round.SnapshotBuilder;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.sim.SimMachineTypes;

/** The share of time that scheduling rounds take, with planning of a given duration. */
class RoundPacingTest {
  /** Design.md, "What was changed": heartbeats, requests and the renewal come before planning. */
  private static final double MAX_PLANNING_SHARE = 0.25;

  private static final double DURATION_S = 300;
  private static final double EVENT_INTERVAL_S = 0.05;

  private final LeadershipFixture fixture = new LeadershipFixture();
  private double planningS;

  /** Lets the time of a round pass while it plans. */
  private final class SlowPlanning implements ZoneControl {
    private final double seconds;

    SlowPlanning(double seconds) {
      this.seconds = seconds;
    }

    @Override
    public void recover() {}

    @Override
    public void check(MonotonicTime now) {}

    @Override
    public void attemptClosed(Attempt attempt, boolean done) {}

    @Override
    public Snapshot filter(Snapshot full) {
      fixture.clock.runFor(seconds);
      planningS += seconds;
      return full;
    }

    @Override
    public Plan limit(Plan plan) {
      return plan;
    }
  }

  private SchedulingRounds roundsWith(ZoneControl zones) {
    MachineComponents fleet = new MachineComponents(fixture.context, SimMachineTypes.ALL);
    WorkerComponents workers = new WorkerComponents(fixture.context, fleet);
    ScalingComponents scaling = new ScalingComponents(fixture.context, fleet, workers);
    FleetState state =
        new FleetState(
            fleet.machines,
            fleet.machineTypes,
            fleet.failures,
            fleet.bootTimes,
            fleet.reportedTaskCounts);
    SnapshotBuilder snapshots =
        new SnapshotBuilder(
            fixture.context, state, new ArrivalRates(List.of()), fleet.scaleOutOptions);
    PlanExecutor executor =
        new PlanExecutor(
            fixture.context,
            state,
            snapshots,
            workers.attempts,
            fleet.provisioner,
            scaling.releaser);
    return new SchedulingRounds(fixture.context, fleet.machineTypes, snapshots, executor, zones);
  }

  @ParameterizedTest(name = "rounds of {0} s")
  @ValueSource(doubles = {0.01, 0.2, 0.9, 1.7, 4})
  void longRoundsLeaveTimeForRequestsAndRenewals(double seconds) {
    SchedulingRounds rounds = roundsWith(new SlowPlanning(seconds));
    rounds.enable();
    double startedAt = fixture.clock.seconds();
    while (fixture.clock.seconds() < startedAt + DURATION_S) {
      rounds.requestRound();
      fixture.clock.runFor(EVENT_INTERVAL_S);
    }
    double elapsedS = fixture.clock.seconds() - startedAt;
    assertTrue(planningS > 0, "no round was run");
    assertTrue(
        planningS <= MAX_PLANNING_SHARE * elapsedS + seconds,
        "planning took " + planningS + " s of " + elapsedS + " s");
  }
}
