package org.ternhinge.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ternhinge.config.Team;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.schedule.Snapshot.MachineView;
import org.ternhinge.schedule.Snapshot.Offer;
import org.ternhinge.sim.Specs;
import org.ternhinge.wire.Flavor;
import org.ternhinge.wire.JobSpec;

/** Plans by tables of small fleets. */
class PlannerTest {
  private static final List<String> ZONES = List.of("east", "west");
  private static final Flavor PLAIN =
      new Flavor("plain", Resources.offer(4, 0, 16), 4, 0, 16, 50, 0.5, 0.2, 0.05, 20, ZONES);
  private static final Flavor FAST =
      new Flavor("fast", Resources.offer(16, 2, 64), 16, 2, 64, 50, 0.5, 5, 1.5, 40, ZONES);

  private static final SteadyTime NOW = new SteadyTime(1_000_000_000_000L);

  private final List<MachineView> machines = new ArrayList<>();
  private final List<JobView> jobs = new ArrayList<>();
  private final List<JobView> spares = new ArrayList<>();
  private final List<Offer> offers = new ArrayList<>();
  private final List<Snapshot.Coming> coming = new ArrayList<>();
  private final Map<String, Resources> use = new HashMap<>();

  private MachineView machine(
      String name, Flavor flavor, int zone, Set<String> images, AttemptView... there) {
    Resources free = flavor.capacity();
    for (AttemptView a : there) {
      free = free.minus(a.spec().need());
      use.merge(a.spec().team(), a.spec().need(), Resources::plus);
    }
    MachineView machine =
        new MachineView(
            new MachineId(name),
            flavor,
            zone,
            ZONES.get(zone),
            false,
            free,
            true,
            images,
            NOW.plusSeconds(there.length == 0 ? -100 : 0),
            NOW.plusSeconds(-200),
            List.of(there),
            List.of());
    machines.add(machine);
    return machine;
  }

  private static JobSpec spec(String id, String kind, int tasks, Map<String, Object> changes) {
    ObjectNode json = Specs.json(id, kind, tasks);
    changes.forEach(
        (k, v) -> {
          if (v instanceof String s) {
            json.put(k, s);
          } else if (v instanceof Boolean b) {
            json.put(k, b);
          } else {
            json.put(k, ((Number) v).doubleValue());
          }
        });
    return Specs.of(json);
  }

  private void job(JobSpec spec, boolean guaranteed) {
    job(spec, guaranteed, 0);
  }

  private void job(JobSpec spec, boolean guaranteed, double ageS) {
    IntArrayList pending = new IntArrayList();
    for (int i = 0; i < spec.tasks(); i++) {
      pending.add(i);
    }
    jobs.add(
        new JobView(
            spec,
            jobs.size(),
            ageS,
            guaranteed,
            ageS > 120,
            pending,
            pending.size(),
            IntArrayList.wrap(new int[2]),
            false,
            Set.of(),
            0));
  }

  private Plan plan() {
    Map<String, Team> teams =
        Map.of(
            "red", new Team("red", 8000, 100_000, 0, 0),
            "blue", new Team("blue", 8000, 40_000, 0, 0),
            "green", new Team("green", 0, 0, 0, 0));
    return Planner.plan(
        new Snapshot(machines, jobs, spares, teams, use, offers, coming, true, 40, NOW));
  }

  private static List<String> on(Plan plan) {
    List<String> out = new ArrayList<>();
    plan.places().forEach(p -> p.machines().forEach(m -> out.add(m.value())));
    return out;
  }

  @Test
  void aTaskGoesWhereItsImageLies() {
    machine("n-1", PLAIN, 0, Set.of());
    machine("n-2", PLAIN, 0, Set.of("img-1"));
    job(spec("wk-1", "batch", 1, Map.of()), true);
    assertEquals(List.of("n-2"), on(plan()));
  }

  @Test
  void plainTasksLeaveAcceleratedPlacesAlone() {
    machine("n-1", FAST, 0, Set.of("img-1"));
    job(spec("wk-1", "batch", 4, Map.of()), true);
    job(spec("wk-2", "group", 1, Map.of("cpus", 14.0, "accelerators", 2.0)), true);
    Plan plan = plan();
    assertEquals(3, on(plan).size(), "two plain tasks beside the accelerated one");
  }

  @Test
  void gangsStartWholeOrNotAtAllAndTogether() {
    machine("n-1", PLAIN, 0, Set.of());
    machine("n-2", PLAIN, 1, Set.of());
    Map<String, Object> apart = Map.of("cpus", 3.0, "together", true);
    job(spec("wk-1", "group", 2, apart), true);
    assertEquals(List.of(), on(plan()));
    machine("n-3", PLAIN, 1, Set.of());
    assertEquals(Set.of("n-2", "n-3"), Set.copyOf(on(plan())));
  }

  @Test
  void scatteredReplicasFillNoZoneByMoreThanHalf() {
    machine("n-1", PLAIN, 0, Set.of());
    machine("n-2", PLAIN, 0, Set.of());
    job(spec("wk-1", "daemon", 3, Map.of("scatter", true)), true);
    assertEquals(2, on(plan()).size(), "the third waits for another zone");
  }

  @Test
  void onlyHigherPriorityOrAGuaranteeMakesRoom() {
    JobSpec low = spec("wk-9", "batch", 4, Map.of("eigandi", "blue", "cpus", 2.0));
    machine(
        "n-1",
        PLAIN,
        0,
        Set.of("img-1"),
        new AttemptView(low, 0, false, NOW.plusSeconds(-5)),
        new AttemptView(low, 1, false, NOW.plusSeconds(-5)));
    job(spec("wk-1", "batch", 1, Map.of("cpus", 2.0)), true);
    assertEquals(0, plan().stops().size(), "blue is within its guarantee");
    use.put("blue", new Resources(12_000, 0, 0));
    assertEquals(1, plan().stops().size(), "blue exceeds it");
    jobs.clear();
    job(spec("wk-1", "batch", 1, Map.of("cpus", 2.0)), false);
    assertEquals(0, plan().stops().size(), "red has no claim beyond its own");
    jobs.clear();
    job(spec("wk-1", "daemon", 1, Map.of("cpus", 2.0, "forgang", "production")), false);
    assertEquals(1, plan().stops().get(0).victims().size(), "one is enough");
  }

  @Test
  void rentsTheCheapestThatIsPermitted() {
    offers.add(new Offer(FAST, 0, "east", false, 10));
    offers.add(new Offer(PLAIN, 0, "east", false, 10));
    offers.add(new Offer(PLAIN, 0, "east", true, 10));
    job(spec("wk-1", "daemon", 2, Map.of("cpus", 4.0, "lanvelar", false)), true);
    assertEquals(List.of(new Plan.Rent("plain", "east", false, 2)), plan().rents());
    jobs.clear();
    job(spec("wk-1", "daemon", 2, Map.of("cpus", 4.0)), true);
    assertEquals(List.of(new Plan.Rent("plain", "east", true, 2)), plan().rents());
  }

  @Test
  void returnsWhatIdlesButNotWhatIsAboutToBeUsed() {
    machine("n-1", PLAIN, 0, Set.of());
    machine("n-2", PLAIN, 0, Set.of());
    job(spec("wk-1", "batch", 1, Map.of()), true);
    Plan plan = plan();
    assertEquals(1, plan.releases().size());
    assertTrue(!on(plan).contains(plan.releases().get(0).value()));
  }

  private static AttemptView running(JobSpec spec, int index, double seconds) {
    return new AttemptView(spec, index, false, NOW.plusSeconds(-seconds));
  }

  private static JobSpec accelerated(String id, int tasks) {
    Map<String, Object> ask =
        Map.of("cpus", 14.0, "accelerators", 2.0, "forgang", "high", "together", true);
    return spec(id, "group", tasks, ask);
  }

  @Test
  void aGangGetsRoomWholeOrNotAtAll() {
    JobSpec array = spec("wk-9", "batch", 4, Map.of("cpus", 8.0, "eigandi", "blue"));
    JobSpec service =
        spec("wk-8", "daemon", 1, Map.of("cpus", 8.0, "forgang", "production", "lanvelar", false));
    machine("n-1", FAST, 0, Set.of(), running(array, 0, 5), running(array, 1, 9));
    machine("n-2", FAST, 0, Set.of(), running(array, 2, 5), running(service, 0, 100));
    job(accelerated("wk-1", 2), true, 130);
    assertEquals(0, plan().stops().size(), "room for one of two helps nobody");
    machine("n-3", FAST, 0, Set.of(), running(array, 3, 5));
    jobs.clear();
    job(accelerated("wk-1", 2), true, 60);
    assertEquals(0, plan().stops().size(), "it is not late yet");
    jobs.clear();
    job(accelerated("wk-1", 2), true, 130);
    Plan plan = plan();
    assertEquals(2, plan.stops().size());
    int victims = plan.stops().stream().mapToInt(s -> s.victims().size()).sum();
    assertEquals(3, victims, "both of n-1 and the one of n-3");
  }

  @Test
  void aLargeGangIsNotPassedBySmallOnes() {
    machine("n-1", FAST, 0, Set.of());
    job(accelerated("wk-1", 2), true, 5);
    job(accelerated("wk-2", 1), true);
    assertEquals(List.of("n-1"), on(plan()), "a young one lets others by");
    jobs.remove(1);
    job(spec("wk-3", "batch", 1, Map.of("cpus", 4.0, "forgang", "low")), true);
    assertEquals(List.of(), on(plan()), "but not lesser arrays");
    jobs.clear();
    job(accelerated("wk-1", 2), true, 30);
    job(accelerated("wk-2", 1), true);
    assertEquals(List.of(), on(plan()), "one that has waited keeps what is free");
    machine("n-2", FAST, 1, Set.of());
    assertEquals(List.of("n-2"), on(plan()), "where it can't start, others may");
  }

  @Test
  void lesserArraysStandInTheWayOfAcceleratedTasksWhereOthersDoAlready() {
    JobSpec array = spec("wk-9", "batch", 4, Map.of("cpus", 4.0));
    machine("n-1", FAST, 0, Set.of("img-1"));
    machine("n-2", FAST, 0, Set.of("img-1"), running(array, 0, 5));
    job(accelerated("wk-1", 4), true);
    job(spec("wk-2", "batch", 1, Map.of("cpus", 4.0)), false);
    offers.add(new Offer(FAST, 0, "east", false, 10));
    jobs.remove(0);
    job(accelerated("wk-3", 9), false);
    assertEquals(List.of("n-2"), on(plan()));
  }

  @Test
  void aGangGoesToTheZoneWhereItsLastImageComesFirst() {
    machine("n-1", FAST, 0, Set.of("img-1"));
    machine("n-2", FAST, 0, Set.of());
    machine("n-3", FAST, 1, Set.of("img-1"));
    machine("n-4", FAST, 1, Set.of("img-1"));
    job(accelerated("wk-1", 2), true);
    assertEquals(Set.of("n-3", "n-4"), Set.copyOf(on(plan())));
  }

  @Test
  void oneVictimMakesRoomForOneJobOnly() {
    JobSpec low = spec("wk-9", "batch", 1, Map.of("cpus", 4.0, "forgang", "low"));
    machine("n-1", PLAIN, 0, Set.of(), running(low, 0, 5));
    job(spec("wk-1", "batch", 1, Map.of("cpus", 4.0)), true);
    job(spec("wk-2", "batch", 1, Map.of("cpus", 4.0)), true);
    assertEquals(1, plan().stops().size());
  }

  @Test
  void lonelyReplicasLeaveAcceleratedMachinesForCheaperRoom() {
    Map<String, Object> ask = Map.of("cpus", 4.0, "forgang", "production", "scatter", true);
    JobSpec service = spec("wk-8", "daemon", 3, ask);
    machine("n-1", FAST, 0, Set.of("img-1"), running(service, 0, 30));
    machine("n-2", PLAIN, 0, Set.of("img-1"));
    assertEquals(List.of(), plan().stops(), "it has just come");
    machines.clear();
    machine("n-1", FAST, 0, Set.of("img-1"), running(service, 0, 100));
    machine("n-2", PLAIN, 0, Set.of("img-1"));
    machine("n-3", FAST, 1, Set.of("img-1"), running(service, 1, 100));
    Plan plan = plan();
    assertEquals(1, plan.stops().size(), "one at a time");
    assertEquals("n-2", plan.stops().get(0).machine().value());
    assertEquals(1, plan.stops().get(0).victims().size());
    assertEquals(List.of(), plan.releases(), "the room for it is not returned meanwhile");
  }

  @Test
  void machinesAskedForCountAsComing() {
    Offer plain = new Offer(PLAIN, 0, "east", false, 50);
    offers.add(plain);
    job(spec("wk-1", "daemon", 3, Map.of("cpus", 4.0, "lanvelar", false)), true);
    assertEquals(3, plan().rents().get(0).count());
    coming.add(new Snapshot.Coming(plain, 2));
    assertEquals(1, plan().rents().get(0).count());
    coming.add(new Snapshot.Coming(plain, 1));
    assertEquals(List.of(), plan().rents());
  }

  /** At 1,700 machines these two took nine tenths of a leader's processor time. */
  @Test
  void workThatCanWaitAsksEachMachineAFewTimesHoweverManyAsk() {
    int fleet = 1700;
    Map<String, Object> ask = Map.of("cpus", 4.0, "forgang", "production", "lanvelar", false);
    for (int i = 0; i < fleet / 2; i++) {
      JobSpec service = spec("wk-1" + i % 100, "daemon", 40, ask);
      machine("n-1" + i, FAST, 0, Set.of(), running(service, i / 100, 100));
      // Room that is too dear to move to, and that no expected job may block.
      machine("n-2" + i, FAST, 0, Set.of());
    }
    long evaluations = plan().evaluations();
    assertTrue(evaluations < 20L * fleet, "replicas that could move: " + evaluations);
    machines.clear();
    for (int i = 0; i < fleet; i++) {
      machine("n-" + i, PLAIN, 0, Set.of(), running(spec("wk-9", "daemon", 1, ask), 0, 10));
    }
    for (int i = 0; i < 200; i++) {
      spares.add(JobView.expected(spec("wk-3" + i, "daemon", 9, ask), i, 2));
    }
    evaluations = plan().evaluations();
    assertTrue(evaluations < 5L * fleet, "jobs that may come: " + evaluations);
  }

  @Test
  void roomForExpectedJobsIsNotReturned() {
    Map<String, Object> ask = Map.of("cpus", 2.0, "forgang", "production");
    machine("n-1", PLAIN, 0, Set.of());
    machine("n-2", PLAIN, 0, Set.of(), running(spec("wk-9", "daemon", 1, ask), 0, 100));
    assertEquals(List.of(new MachineId("n-1")), plan().releases());
    spares.add(JobView.expected(spec("wk-1", "daemon", 1, ask), 0, 2));
    assertEquals(1, plan().releases().size(), "the busy machine has room");
    spares.add(JobView.expected(spec("wk-2", "daemon", 1, ask), 1, 2));
    assertEquals(List.of(), plan().releases());
    offers.add(new Offer(PLAIN, 0, "east", false, 10));
    spares.add(JobView.expected(spec("wk-3", "daemon", 3, ask), 2, 2));
    assertEquals(1, plan().rents().size(), "n-1 has room for one more");
  }

  /**
   * Gangs come before arrays and look longest. Where dozens of them waited, a round's looks were
   * used up before any array had its turn, in every round for as long as they waited.
   */
  @Test
  void manyWaitingGangsLeaveArraysTheirTurn() {
    for (int i = 0; i < 600; i++) {
      JobSpec there =
          spec(
              "wk-1" + i, "group", 2, Map.of("cpus", 14.0, "accelerators", 2.0, "eigandi", "away"));
      machine("n-1" + i, FAST, i % 2, Set.of(), running(there, 0, 10));
      JobSpec small = spec("wk-2" + i, "batch", 1, Map.of("cpus", 3.0, "eigandi", "away"));
      machine("n-2" + i, PLAIN, i % 2, Set.of(), running(small, 0, 10));
    }
    for (int i = 0; i < 60; i++) {
      Map<String, Object> ask =
          Map.of("cpus", 14.0, "accelerators", 2.0, "forgang", "high", "eigandi", "green");
      job(spec("wk-3" + i, "group", 60 - i, ask), true, 130);
    }
    job(spec("wk-4", "batch", 10, Map.of("eigandi", "green")), false);
    Plan plan = plan();
    assertEquals(10, on(plan).size(), "each has a place on a plain machine");
    assertTrue(plan.evaluations() < 200_000, "evaluations: " + plan.evaluations());
  }

  /** Who found nothing speaks for those alike that ask for as much, and for no others. */
  @Test
  void oneThatFoundNothingDoesNotSpeakForOthers() {
    Map<String, Object> service = Map.of("cpus", 1.0, "forgang", "production");
    machine("n-1", PLAIN, 0, Set.of(), running(spec("wk-9", "batch", 1, Map.of()), 0, 5));
    job(spec("wk-1", "batch", 1, Map.of("cpus", 4.0)), true);
    job(spec("wk-2", "batch", 1, Map.of("cpus", 4.0)), true);
    job(spec("wk-3", "batch", 1, Map.of("cpus", 3.0)), true);
    assertEquals(List.of("n-1"), on(plan()), "the smallest fits");
    jobs.clear();
    machines.clear();
    JobSpec low = spec("wk-9", "batch", 4, Map.of("forgang", "low"));
    machine(
        "n-1",
        PLAIN,
        0,
        Set.of(),
        running(low, 0, 5),
        running(low, 1, 5),
        running(low, 2, 5),
        running(low, 3, 5));
    job(spec("wk-1", "daemon", 3, service), true);
    job(spec("wk-2", "daemon", 1, service), true);
    assertEquals(2, plan().stops().size(), "each job may have one stopped on a machine");
    jobs.clear();
    machines.clear();
    Map<String, Object> spread = Map.of("forgang", "production", "scatter", true);
    machine("n-1", PLAIN, 0, Set.of());
    job(spec("wk-1", "daemon", 4, spread), true);
    job(spec("wk-2", "daemon", 2, spread), true);
    assertEquals(3, on(plan()).size(), "kept back by its own zones, not for want of room");
  }
}
