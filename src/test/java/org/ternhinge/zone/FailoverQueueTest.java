package org.ternhinge.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.TaskState;

/** Order and rate in which the tasks of a lost zone are released. */
class FailoverQueueTest {
  private static final ZoneFailoverSettings.Release RELEASE =
      new ZoneFailoverSettings.Release(15, 10);
  private static final int NO_OPEN_TIER = 9;

  private final FailoverOrder order =
      new FailoverOrder(
          List.of(
              tier("warnings", Set.of("warning"), Set.of()),
              tier("charts", Set.of("chart"), Set.of()),
              tier("climate", Set.of(), Set.of())));

  private final Map<JobId, DisplacedWork.TaskState> states = new HashMap<>();
  private final Set<JobId> unplaceable = new HashSet<>();
  private MonotonicTime now = new MonotonicTime(0);
  private FailoverQueue queue = new FailoverQueue(RELEASE, order, 1000, now);

  private final DisplacedWork work =
      new DisplacedWork() {
        @Override
        public TaskState state(JobId job, int task) {
          return states.getOrDefault(job, TaskState.PENDING);
        }

        @Override
        public boolean isPlaceable(JobId job) {
          return !unplaceable.contains(job);
        }
      };

  private static ZoneFailoverSettings.Tier tier(
      String name, Set<String> classes, Set<JobKind> kinds) {
    return new ZoneFailoverSettings.Tier(name, Set.of(), classes, kinds, Set.of());
  }

  private static JobSpec job(String id, String jobClass, String kind, int tasks, String zone) {
    return SubmissionJson.parse(
        SubmissionJson.smallJob(id, kind, tasks).put("runflokkur", jobClass).put("svaedi", zone));
  }

  private void displace(String id, String jobClass, int tasks) {
    displace(job(id, jobClass, "batch", tasks, null));
  }

  private void displace(JobSpec spec) {
    for (int i = 0; i < spec.tasks(); i++) {
      queue.displace(spec, i, "west", now);
    }
  }

  /** Advances the time and returns the jobs of which tasks are released. */
  private List<String> releasedAfter(double seconds) {
    return releasedAfter(seconds, NO_OPEN_TIER);
  }

  private List<String> releasedAfter(double seconds, int firstOpenTier) {
    now = now.plusSeconds(seconds);
    queue.removeResolved(work);
    List<String> jobs = new ArrayList<>();
    queue
        .release(work, firstOpenTier, now)
        .forEach(tasks -> jobs.add(tasks.job().spec().id().value()));
    return jobs;
  }

  @Test
  void lowerTiersWaitUntilHigherTiersArePlaced() {
    displace("wk-3", "climate", 2);
    displace("wk-2", "chart", 2);
    displace("wk-1", "warning", 2);
    assertEquals(List.of("wk-1"), releasedAfter(1));
    assertEquals(List.of(), releasedAfter(1));
    states.put(new JobId("wk-1"), DisplacedWork.TaskState.PLACED);
    assertEquals(List.of("wk-2"), releasedAfter(1));
    states.put(new JobId("wk-2"), DisplacedWork.TaskState.ENDED);
    assertEquals(List.of("wk-3"), releasedAfter(1));
  }

  @Test
  void lowerTierWaitsForOpenAttemptsOfHigherTier() {
    displace("wk-3", "climate", 2);
    assertEquals(List.of(), releasedAfter(1, 0));
    assertEquals(List.of("wk-3"), releasedAfter(1, 2));
  }

  /** Attempts of a higher tier that never end must not hold lower tiers forever. */
  @Test
  void openAttemptsDelayLowerTiersForBoundedTime() {
    displace("wk-2", "chart", 1);
    displace("wk-3", "climate", 1);
    assertEquals(List.of(), releasedAfter(14, 0));
    assertEquals(List.of("wk-2"), releasedAfter(1, 0));
    assertEquals(List.of(), releasedAfter(14, 0));
    assertEquals(List.of("wk-3"), releasedAfter(1, 0));
  }

  @Test
  void higherTierWithoutRoomDelaysLowerTiersForBoundedTime() {
    displace("wk-1", "warning", 1);
    displace("wk-2", "chart", 1);
    displace("wk-3", "climate", 1);
    assertEquals(List.of("wk-1"), releasedAfter(1));
    assertEquals(List.of(), releasedAfter(13));
    assertEquals(List.of("wk-2"), releasedAfter(1));
    assertEquals(List.of("wk-3"), releasedAfter(15));
    assertEquals(List.of("wk-9"), releasedAfterLaterLoss());
  }

  /** A job that still has no capacity must not delay the tasks of the next lost zone. */
  private List<String> releasedAfterLaterLoss() {
    displace("wk-9", "climate", 1);
    return releasedAfter(1);
  }

  @Test
  void unplaceableJobsDelayNoOthers() {
    displace("wk-1", "warning", 1);
    unplaceable.add(new JobId("wk-1"));
    displace(job("wk-4", "warning", "batch", 1, "west"));
    displace("wk-3", "climate", 1);
    assertEquals(List.of("wk-1", "wk-4", "wk-3"), releasedAfter(1));
  }

  @Test
  void tasksAreReleasedAtBoundedRateAndGangsWhole() {
    queue = new FailoverQueue(RELEASE, order, 4, now);
    displace("wk-1", "warning", 40);
    displace(job("wk-2", "warning", "group", 6, null));
    int peak = 0;
    for (int i = 0; i < 12; i++) {
      now = now.plusSeconds(1);
      for (FailoverQueue.JobTasks tasks : queue.release(work, NO_OPEN_TIER, now)) {
        boolean gang = tasks.job().spec().isGang();
        assertTrue(!gang || tasks.tasks().size() == 6, "a gang is released whole");
        peak = Math.max(peak, gang ? 0 : tasks.tasks().size());
      }
    }
    assertEquals(5, peak, "46 tasks in 10 s are about 5 per second");
    assertTrue(queue.held().isEmpty());
  }

  @Test
  void releaseRateGrowsWithNumberOfDisplacedTasks() {
    queue = new FailoverQueue(RELEASE, order, 30, now);
    for (int i = 0; i < 40; i++) {
      displace("wk-" + i, "warning", 100);
    }
    for (int i = 0; i < 60; i++) {
      releasedAfter(1);
    }
    assertTrue(queue.held().isEmpty(), "4,000 tasks are released within 60 s");
  }

  @Test
  void taskIsDisplacedOnceAndRemovedWhenItEnds() {
    JobSpec spec = job("wk-1", "warning", "batch", 1, null);
    queue.displace(spec, 0, "west", now);
    queue.displace(spec, 0, "west", now);
    assertEquals(List.of("wk-1"), releasedAfter(1));
    queue.displace(spec, 0, "west", now);
    assertTrue(queue.held().isEmpty(), "a released task is not held again");
    states.put(spec.id(), DisplacedWork.TaskState.ENDED);
    assertTrue(queue.removeResolved(work).isEmpty(), "a cancelled job is not moved");
    assertTrue(queue.isEmpty());
    queue.displace(spec, 0, "west", now);
    states.put(spec.id(), DisplacedWork.TaskState.PLACED);
    assertEquals(1, queue.removeResolved(work).size());
    assertFalse(queue.held().containsKey(spec.id()));
  }
}
