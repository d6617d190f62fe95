package org.ternhinge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.Offer;
import org.ternhinge.wire.JobSpec;

/** The planner's decisions for small fleets, with a nested class for each step of a round. */
class PlannerTest extends PlannerFixture {
  /** Placement of tasks in free room. */
  @Nested
  class Placement {
    @Test
    void prefersMachineWithCachedImage() {
      machine("n-1", PLAIN, 0, Set.of());
      machine("n-2", PLAIN, 0, Set.of("img-1"));
      job(spec("wk-1", "batch", 1, Map.of()), true);
      assertEquals(List.of("n-2"), placedMachines(plan()));
    }

    @Test
    void keepsAcceleratorSlotsFree() {
      machine("n-1", ACCELERATED, 0, Set.of("img-1"));
      job(spec("wk-1", "batch", 4, Map.of()), true);
      job(spec("wk-2", "group", 1, Map.of("cpus", 14.0, "accelerators", 2.0)), true);
      Plan plan = plan();
      assertEquals(
          3, placedMachines(plan).size(), "two array tasks and the gang with accelerators");
    }

    @Test
    void placesArrayWhereOtherArraysAlreadyBlockAccelerators() {
      JobSpec array = spec("wk-9", "batch", 4, Map.of("cpus", 4.0));
      machine("n-1", ACCELERATED, 0, Set.of("img-1"));
      machine("n-2", ACCELERATED, 0, Set.of("img-1"), running(array, 0, 5));
      job(acceleratedGang("wk-1", 4), true);
      job(spec("wk-2", "batch", 1, Map.of("cpus", 4.0)), false);
      offers.add(new Offer(ACCELERATED, 0, "east", false, 10));
      jobs.remove(0);
      job(acceleratedGang("wk-3", 9), false);
      assertEquals(List.of("n-2"), placedMachines(plan()));
    }

    @Test
    void placesAtMostHalfOfScatteredReplicasInOneZone() {
      machine("n-1", PLAIN, 0, Set.of());
      machine("n-2", PLAIN, 0, Set.of());
      job(spec("wk-1", "daemon", 3, Map.of("scatter", true)), true);
      assertEquals(2, placedMachines(plan()).size(), "the third replica waits for another zone");
    }
  }

  /** Placement, preemption and reservation for gangs. */
  @Nested
  class Gangs {
    @Test
    void startCompletelyInOneZoneOrNotAtAll() {
      machine("n-1", PLAIN, 0, Set.of());
      machine("n-2", PLAIN, 1, Set.of());
      Map<String, Object> request = Map.of("cpus", 3.0, "together", true);
      job(spec("wk-1", "group", 2, request), true);
      assertEquals(List.of(), placedMachines(plan()));
      machine("n-3", PLAIN, 1, Set.of());
      assertEquals(Set.of("n-2", "n-3"), Set.copyOf(placedMachines(plan())));
    }

    @Test
    void startInZoneWithFastestImageFetch() {
      machine("n-1", ACCELERATED, 0, Set.of("img-1"));
      machine("n-2", ACCELERATED, 0, Set.of());
      machine("n-3", ACCELERATED, 1, Set.of("img-1"));
      machine("n-4", ACCELERATED, 1, Set.of("img-1"));
      job(acceleratedGang("wk-1", 2), true);
      assertEquals(Set.of("n-3", "n-4"), Set.copyOf(placedMachines(plan())));
    }

    @Test
    void preemptOnlyForAllTasksAndOnlyWhenOverdue() {
      JobSpec array = spec("wk-9", "batch", 4, Map.of("cpus", 8.0, "eigandi", "blue"));
      JobSpec service =
          spec(
              "wk-8", "daemon", 1, Map.of("cpus", 8.0, "forgang", "production", "lanvelar", false));
      machine("n-1", ACCELERATED, 0, Set.of(), running(array, 0, 5), running(array, 1, 9));
      machine("n-2", ACCELERATED, 0, Set.of(), running(array, 2, 5), running(service, 0, 100));
      job(acceleratedGang("wk-1", 2), true, 130);
      assertEquals(0, plan().preemptions().size(), "room for one of two tasks is not enough");
      machine("n-3", ACCELERATED, 0, Set.of(), running(array, 3, 5));
      jobs.clear();
      job(acceleratedGang("wk-1", 2), true, 60);
      assertEquals(0, plan().preemptions().size(), "the gang is not overdue yet");
      jobs.clear();
      job(acceleratedGang("wk-1", 2), true, 130);
      Plan plan = plan();
      assertEquals(2, plan.preemptions().size());
      int victims = plan.preemptions().stream().mapToInt(s -> s.victims().size()).sum();
      assertEquals(3, victims, "both tasks on n-1 and the one on n-3");
    }

    @Test
    void reserveFreeSlotsAfterDelay() {
      machine("n-1", ACCELERATED, 0, Set.of());
      job(acceleratedGang("wk-1", 2), true, 5);
      job(acceleratedGang("wk-2", 1), true);
      assertEquals(
          List.of("n-1"), placedMachines(plan()), "other gangs are placed before the delay ends");
      jobs.remove(1);
      job(spec("wk-3", "batch", 1, Map.of("cpus", 4.0, "forgang", "low")), true);
      assertEquals(List.of(), placedMachines(plan()), "arrays of lower priority are not");
      jobs.clear();
      job(acceleratedGang("wk-1", 2), true, 30);
      job(acceleratedGang("wk-2", 1), true);
      assertEquals(
          List.of(), placedMachines(plan()), "a gang that has waited reserves the free slot");
      machine("n-2", ACCELERATED, 1, Set.of());
      assertEquals(List.of("n-2"), placedMachines(plan()), "other gangs start in the other zone");
    }
  }

  /** Which tasks may be preempted by which jobs. */
  @Nested
  class Preemptions {
    @Test
    void requireHigherPriorityOrGuarantee() {
      JobSpec low = spec("wk-9", "batch", 4, Map.of("eigandi", "blue", "cpus", 2.0));
      machine(
          "n-1",
          PLAIN,
          0,
          Set.of("img-1"),
          new AttemptView(low, 0, false, NOW.plusSeconds(-5)),
          new AttemptView(low, 1, false, NOW.plusSeconds(-5)));
      job(spec("wk-1", "batch", 1, Map.of("cpus", 2.0)), true);
      assertEquals(0, plan().preemptions().size(), "team blue is within its guarantee");
      teamUse.put("blue", new Resources(12_000, 0, 0));
      assertEquals(1, plan().preemptions().size(), "team blue exceeds its guarantee");
      jobs.clear();
      job(spec("wk-1", "batch", 1, Map.of("cpus", 2.0)), false);
      assertEquals(0, plan().preemptions().size(), "the job of team red is beyond its guarantee");
      jobs.clear();
      job(spec("wk-1", "daemon", 1, Map.of("cpus", 2.0, "forgang", "production")), false);
      assertEquals(1, plan().preemptions().get(0).victims().size(), "one victim is enough");
    }

    @Test
    void useRoomOfVictimForOneJobOnly() {
      JobSpec low = spec("wk-9", "batch", 1, Map.of("cpus", 4.0, "forgang", "low"));
      machine("n-1", PLAIN, 0, Set.of(), running(low, 0, 5));
      job(spec("wk-1", "batch", 1, Map.of("cpus", 4.0)), true);
      job(spec("wk-2", "batch", 1, Map.of("cpus", 4.0)), true);
      assertEquals(1, plan().preemptions().size());
    }

    /**
     * Without this rule, an overdue job of low priority loses its first tasks immediately, gets the
     * next free room and loses it again.
     */
    @ParameterizedTest(name = "started late {0}, guaranteed {1}, waited {2} s: {3} preemptions")
    @CsvSource({
      "false, false, 10, 1", // higher priority is enough
      "true, false, 10, 0",
      "true, true, 10, 1", // a job within its guarantee may preempt
      "true, false, 130, 1" // an overdue job may preempt
    })
    void spareFirstTasksOfLateStartedJob(
        boolean late, boolean guaranteed, double waitedS, int preemptions) {
      JobSpec low = spec("wk-9", "batch", 1, Map.of("cpus", 4.0, "forgang", "low"));
      machine("n-1", PLAIN, 0, Set.of(), running(low, 0, 2));
      if (late) {
        lateStartedJobs.add(low.id());
      }
      job(spec("wk-1", "batch", 1, Map.of("cpus", 4.0)), guaranteed, waitedS);
      assertEquals(preemptions, plan().preemptions().size());
    }
  }

  /** Provisioning and release of machines. */
  @Nested
  class Scaling {
    @Test
    void provisionsTheCheapestPermittedOffer() {
      offers.add(new Offer(ACCELERATED, 0, "east", false, 10));
      offers.add(new Offer(PLAIN, 0, "east", false, 10));
      offers.add(new Offer(PLAIN, 0, "east", true, 10));
      job(spec("wk-1", "daemon", 2, Map.of("cpus", 4.0, "lanvelar", false)), true);
      assertEquals(List.of(new Plan.ScaleOut("plain", "east", false, 2)), plan().scaleOuts());
      jobs.clear();
      job(spec("wk-1", "daemon", 2, Map.of("cpus", 4.0)), true);
      assertEquals(List.of(new Plan.ScaleOut("plain", "east", true, 2)), plan().scaleOuts());
    }

    @Test
    void countsPendingProvisions() {
      Offer plain = new Offer(PLAIN, 0, "east", false, 50);
      offers.add(plain);
      job(spec("wk-1", "daemon", 3, Map.of("cpus", 4.0, "lanvelar", false)), true);
      assertEquals(3, plan().scaleOuts().get(0).count());
      pendingProvisions.add(new Snapshot.PendingProvision(plain, 2));
      assertEquals(1, plan().scaleOuts().get(0).count());
      pendingProvisions.add(new Snapshot.PendingProvision(plain, 1));
      assertEquals(List.of(), plan().scaleOuts());
    }

    @Test
    void releasesIdleMachinesThatThePlanDoesNotUse() {
      machine("n-1", PLAIN, 0, Set.of());
      machine("n-2", PLAIN, 0, Set.of());
      job(spec("wk-1", "batch", 1, Map.of()), true);
      Plan plan = plan();
      assertEquals(1, plan.releases().size());
      assertTrue(!placedMachines(plan).contains(plan.releases().get(0).value()));
    }
  }

  /** Moves of service replicas away from accelerated machines. */
  @Nested
  class ServiceConsolidation {
    @Test
    void movesReplicasToCheaperRoomOneAtATime() {
      Map<String, Object> request = Map.of("cpus", 4.0, "forgang", "production", "scatter", true);
      JobSpec service = spec("wk-8", "daemon", 3, request);
      machine("n-1", ACCELERATED, 0, Set.of("img-1"), running(service, 0, 30));
      machine("n-2", PLAIN, 0, Set.of("img-1"));
      assertEquals(List.of(), plan().preemptions(), "the replica has not run long enough");
      machines.clear();
      machine("n-1", ACCELERATED, 0, Set.of("img-1"), running(service, 0, 100));
      machine("n-2", PLAIN, 0, Set.of("img-1"));
      machine("n-3", ACCELERATED, 1, Set.of("img-1"), running(service, 1, 100));
      Plan plan = plan();
      assertEquals(1, plan.preemptions().size(), "one move at a time");
      assertEquals("n-2", plan.preemptions().get(0).machine().value());
      assertEquals(1, plan.preemptions().get(0).victims().size());
      assertEquals(List.of(), plan.releases(), "the room for later moves is not released");
    }
  }
}
