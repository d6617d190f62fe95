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
import org.ternhinge.model.SteadyTime;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.TaskState;

/** The order and the rate in which work of a lost zone is released. */
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
  private SteadyTime now = new SteadyTime(0);
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

  /** The jobs of which tasks are released after so many seconds. */
  private List<String> releasedAfter(double seconds) {
    return releasedAfter(seconds, NO_OPEN_TIER);
  }

  private List<String> releasedAfter(double seconds, int firstOpenTier) {
    now = now.plusSeconds(seconds);
    queue.settle(work);
    List<String> jobs = new ArrayList<>();
    queue
        .release(work, firstOpenTier, now)
        .forEach(tasks -> jobs.add(tasks.job().spec().id().value()));
    return jobs;
  }

  @Test
  void lowerTiersWaitUntilHigherOnesArePlaced() {
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
  void aLowerTierWaitsForHigherAttemptsThatAreStillOpen() {
    displace("wk-3", "climate", 2);
    assertEquals(List.of(), releasedAfter(1, 0));
    assertEquals(List.of("wk-3"), releasedAfter(1, 2));
  }

  /** Attempts of a higher tier that never end delay the rest for a bounded time. */
  @Test
  void openAttemptsDelayLowerTiersForABoundedTime() {
    displace("wk-2", "chart", 1);
    displace("wk-3", "climate", 1);
    assertEquals(List.of(), releasedAfter(14, 0));
    assertEquals(List.of("wk-2"), releasedAfter(1, 0));
    assertEquals(List.of(), releasedAfter(14, 0));
    assertEquals(List.of("wk-3"), releasedAfter(1, 0));
  }

  @Test
  void aHigherTierWithoutRoomDelaysLowerOnesForABoundedTime() {
    displace("wk-1", "warning", 1);
    displace("wk-2", "chart", 1);
    displace("wk-3", "climate", 1);
    assertEquals(List.of("wk-1"), releasedAfter(1));
    assertEquals(List.of(), releasedAfter(13));
    assertEquals(List.of("wk-2"), releasedAfter(1));
    assertEquals(List.of("wk-3"), releasedAfter(15));
    assertEquals(List.of("wk-9"), releasedOfALaterLoss());
  }

  /** The job that still has no room does not delay the work of the next lost zone. */
  private List<String> releasedOfALaterLoss() {
    displace("wk-9", "climate", 1);
    return releasedAfter(1);
  }

  @Test
  void jobsThatCanNotBePlacedDelayNothing() {
    displace("wk-1", "warning", 1);
    unplaceable.add(new JobId("wk-1"));
    displace(job("wk-4", "warning", "batch", 1, "west"));
    displace("wk-3", "climate", 1);
    assertEquals(List.of("wk-1", "wk-4", "wk-3"), releasedAfter(1));
  }

  @Test
  void tasksAreReleasedAtARateAndGangsWhole() {
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
    assertEquals(5, peak, "46 tasks in 10 s are some 5 a second");
    assertTrue(queue.held().isEmpty());
  }

  @Test
  void theRateGrowsWithTheNumberOfDisplacedTasks() {
    queue = new FailoverQueue(RELEASE, order, 30, now);
    for (int i = 0; i < 40; i++) {
      displace("wk-" + i, "warning", 100);
    }
    for (int i = 0; i < 60; i++) {
      releasedAfter(1);
    }
    assertTrue(queue.held().isEmpty(), "4,000 tasks are released within a minute");
  }

  @Test
  void aTaskIsDisplacedOnceAndRemovedWhenItEnds() {
    JobSpec spec = job("wk-1", "warning", "batch", 1, null);
    queue.displace(spec, 0, "west", now);
    queue.displace(spec, 0, "west", now);
    assertEquals(List.of("wk-1"), releasedAfter(1));
    queue.displace(spec, 0, "west", now);
    assertTrue(queue.held().isEmpty(), "a released task is not held again");
    states.put(spec.id(), DisplacedWork.TaskState.ENDED);
    assertTrue(queue.settle(work).isEmpty(), "a cancelled job is not moved");
    assertTrue(queue.isEmpty());
    queue.displace(spec, 0, "west", now);
    states.put(spec.id(), DisplacedWork.TaskState.PLACED);
    assertEquals(1, queue.settle(work).size());
    assertFalse(queue.held().containsKey(spec.id()));
  }
}
