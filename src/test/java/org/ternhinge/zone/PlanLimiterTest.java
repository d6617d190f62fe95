package org.ternhinge.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.sim.SimMachineTypes;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.TaskState;

/** Restriction of the planner's snapshot and plan by lost and recovering zones. */
class PlanLimiterTest {
  private static final List<String> ZONES = List.of("north", "east", "west");
  private static final JobId ARRAY = new JobId("wk-1");
  private static final JobId GANG = new JobId("wk-2");
  private static final int MACHINES = 40;

  private MonotonicTime now = new MonotonicTime(0);
  private ZoneFailover failover;

  /** Machines n-0 to n-39 are in the first zone, n-40 to n-79 in the second, and so on. */
  private final PlacementLookup placementLookup =
      new PlacementLookup() {
        @Override
        public Optional<String> zoneOf(MachineId machine) {
          return Optional.of(ZONES.get(Integer.parseInt(machine.value().substring(2)) / MACHINES));
        }

        @Override
        public boolean isGang(JobId job) {
          return job.equals(GANG);
        }
      };

  private static ZoneFailover.Observations observations(List<ZoneObservation> zones) {
    return new ZoneFailover.Observations() {
      @Override
      public List<ZoneObservation> zones() {
        return zones;
      }

      @Override
      public Set<Integer> openTiers(String zone) {
        return Set.of();
      }

      @Override
      public TaskState state(JobId job, int task) {
        return TaskState.PENDING;
      }

      @Override
      public boolean isPlaceable(JobId job) {
        return true;
      }
    };
  }

  @BeforeEach
  void allAvailable() {
    failover = new ZoneFailover(ZoneFailoverSettings.DEFAULT, ZONES, 24, 30, now);
    observe(1, 0);
  }

  /** Advances the time with the given number of impaired machines in the first zone. */
  private void observe(double seconds, int impaired) {
    List<ZoneObservation> seen =
        List.of(
            new ZoneObservation(MACHINES, impaired),
            new ZoneObservation(MACHINES, 0),
            new ZoneObservation(MACHINES, 0));
    for (double t = 0; t < seconds; t += 0.5) {
      now = now.plusSeconds(0.5);
      failover.observe(observations(seen), now);
    }
  }

  private void loseAndRecover() {
    observe(6, MACHINES);
    assertEquals(ZoneState.UNAVAILABLE, failover.current().read().state("north"));
    observe(10.5, 0);
    assertEquals(ZoneState.RECOVERING, failover.current().read().state("north"));
  }

  private static Plan.Placement placement(JobId job, int firstMachine, int count) {
    return new Plan.Placement(
        job,
        IntStream.range(0, count).boxed().toList(),
        IntStream.range(firstMachine, firstMachine + count)
            .mapToObj(i -> new MachineId("n-" + i))
            .toList());
  }

  private Plan limit(Plan plan) {
    return failover.limit(plan, placementLookup, new ArrayList<>(), now);
  }

  private static int startCount(Plan plan) {
    return plan.placements().stream().mapToInt(place -> place.tasks().size()).sum();
  }

  // ---- plans ------------------------------------------------------------------------------------

  @Test
  void planIsUnchangedWhileAllZonesAreAvailable() {
    Plan plan = new Plan();
    plan.placements().add(placement(ARRAY, 0, 30));
    assertSame(plan, limit(plan));
  }

  @Test
  void startsInRecoveringZoneAreRateLimited() {
    loseAndRecover();
    int started = 0;
    int steps = ZoneFailoverSettings.DEFAULT.pace().steps();
    for (int round = 0; round < 200; round++) {
      Plan plan = new Plan();
      plan.placements().add(placement(ARRAY, 0, 30));
      started += startCount(limit(plan));
      now = now.plusSeconds(0.1);
    }
    // The initial rate is a tenth of the zone's 40 machines per second; the bucket begins with one
    // token.
    assertTrue(started >= 60 && started <= 4 * 20 + 5 * steps, started + " starts in 20 s");
    Plan elsewhere = new Plan();
    elsewhere.placements().add(placement(ARRAY, MACHINES, 30));
    assertEquals(30, startCount(limit(elsewhere)));
  }

  @Test
  void startRateDoublesWithEachStep() {
    RecoveryRateLimiter limiter = new RecoveryRateLimiter(ZoneFailoverSettings.DEFAULT.pace());
    assertEquals(4, limiter.rate(0, 40));
    assertEquals(32, limiter.rate(3, 40));
    assertEquals(1, limiter.rate(0, 3), "at least one start per second");
    assertEquals(133, limiter.rate(0, 1333), 1, "the rate is proportional to the size of the zone");
  }

  @Test
  void gangsStartWholeAndMayOverdrawTokenBucket() {
    loseAndRecover();
    Plan plan = new Plan();
    plan.placements().add(placement(GANG, 0, 16));
    plan.placements().add(placement(ARRAY, 20, 4));
    Plan limited = limit(plan);
    assertEquals(1, limited.placements().size());
    assertEquals(16, limited.placements().get(0).tasks().size());
    now = now.plusSeconds(1);
    assertEquals(0, startCount(limit(plan)), "the overdrawn bucket has to be refilled first");
  }

  @Test
  void runningReplicasAreNotMovedAndMachineReleasesAreRateLimited() {
    loseAndRecover();
    Plan plan = new Plan();
    MachineId machine = new MachineId("n-50");
    Resources room = Resources.ofRequest(1, 0, 1);
    plan.preemptions()
        .add(new Plan.Preemption(machine, ARRAY, room, List.of(new Plan.Victim(ARRAY, 0))));
    Plan.Preemption preemptionForOtherJob =
        new Plan.Preemption(machine, ARRAY, room, List.of(new Plan.Victim(GANG, 0)));
    plan.preemptions().add(preemptionForOtherJob);
    plan.scaleOuts().add(new Plan.ScaleOut("small", "east", true, 3));
    IntStream.range(40, 80).forEach(i -> plan.releases().add(new MachineId("n-" + i)));
    Plan limited = limit(plan);
    assertEquals(List.of(preemptionForOtherJob), limited.preemptions());
    assertEquals(plan.scaleOuts(), limited.scaleOuts());
    assertTrue(limited.releases().size() <= 4, limited.releases().size() + " released at once");
  }

  // ---- snapshots --------------------------------------------------------------------------------

  private static Snapshot snapshot(JobSpec... jobs) {
    List<Snapshot.MachineView> machines = new ArrayList<>();
    List<Snapshot.Offer> offers = new ArrayList<>();
    for (int zone = 0; zone < ZONES.size(); zone++) {
      machines.add(machine(zone));
      offers.add(new Snapshot.Offer(SimMachineTypes.ALL.get(0), zone, ZONES.get(zone), false, 10));
    }
    List<Snapshot.JobView> views = new ArrayList<>();
    for (JobSpec job : jobs) {
      IntList pending = IntList.of(IntStream.range(0, job.tasks()).toArray());
      views.add(
          Snapshot.JobView.expected(job, 0, ZONES.size())
              .withPendingTasks(pending, job.tasks(), false));
    }
    return new Snapshot(
        machines,
        views,
        List.of(),
        Map.of(),
        Map.of(),
        offers,
        List.of(new Snapshot.PendingProvision(offers.get(0), 2)),
        Set.of(),
        true,
        40,
        new MonotonicTime(0));
  }

  private static Snapshot.MachineView machine(int zone) {
    return new Snapshot.MachineView(
        new MachineId("n-" + zone * MACHINES),
        SimMachineTypes.ALL.get(0),
        zone,
        ZONES.get(zone),
        false,
        SimMachineTypes.ALL.get(0).capacity(),
        true,
        Set.of(),
        new MonotonicTime(0),
        new MonotonicTime(0),
        List.of(),
        List.of());
  }

  /** Machine readiness, offers and pending provisions that remain, by state of the first zone. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "available, true, true, 3, 1",
    "suspect, true, false, 2, 1",
    "unavailable, false, false, 2, 0",
    "recovering, true, true, 3, 1"
  })
  void plannerSnapshotReflectsZoneState(
      String state, boolean shown, boolean ready, int offers, int pendingProvisions) {
    switch (state) {
      case "suspect" -> observe(1, MACHINES);
      case "unavailable" -> observe(6, MACHINES);
      case "recovering" -> loseAndRecover();
      default -> assertTrue(failover.current().read().isUnrestricted());
    }
    Snapshot seen = failover.filter(snapshot());
    assertEquals(shown ? 3 : 2, seen.machines().size());
    assertEquals(ready, shown && seen.machines().get(0).ready());
    assertEquals(offers, seen.offers().size());
    assertEquals(pendingProvisions, seen.pendingProvisions().size());
  }

  @Test
  void machinesOfRecoveringZoneWithoutTokensAreNotReady() {
    loseAndRecover();
    Plan plan = new Plan();
    plan.placements().add(placement(ARRAY, 0, 30));
    limit(plan);
    Snapshot seen = failover.filter(snapshot());
    assertEquals(3, seen.machines().size());
    assertEquals(false, seen.machines().get(0).ready());
  }

  @Test
  void heldTasksAreRemovedAndBecomeExpectedJobs() {
    JobSpec array = SubmissionJson.parse(SubmissionJson.smallJob("wk-1", "batch", 5));
    JobSpec gang = SubmissionJson.parse(SubmissionJson.smallJob("wk-2", "group", 3));
    JobSpec other = SubmissionJson.parse(SubmissionJson.smallJob("wk-3", "batch", 4));
    observe(6, MACHINES);
    failover.attemptLost(array, 1, 1, "north", now);
    failover.attemptLost(array, 3, 1, "north", now);
    failover.attemptLost(gang, 0, 1, "north", now);
    failover.attemptLost(other, 0, 1, "east", now);
    List<Snapshot.JobView> jobs = failover.filter(snapshot(array, gang, other)).jobs();
    assertEquals(IntList.of(0, 2, 4), jobs.get(0).pendingTasks());
    assertEquals(3, jobs.get(0).pendingCount());
    assertTrue(jobs.get(1).blocked(), "a gang is held as a whole");
    List<Snapshot.JobView> expectedJobs =
        failover.filter(snapshot(array, gang, other)).expectedJobs();
    assertEquals(
        List.of(2, 3),
        expectedJobs.stream().map(job -> job.spec().tasks()).toList(),
        "capacity is reserved for held tasks");
    assertEquals(4, jobs.get(2).pendingCount(), "a task lost in an available zone is not held");
  }
}
