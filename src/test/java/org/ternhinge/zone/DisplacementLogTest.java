package org.ternhinge.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pcollections.TreePSet;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.TaskState;

/** Log events of displaced tasks. */
class DisplacementLogTest {
  private static final MonotonicTime START = new MonotonicTime(0);
  private static final JobSpec JOB =
      SubmissionJson.parse(SubmissionJson.smallJob("wk-1", "batch", 9));

  private final DisplacementLog log =
      new DisplacementLog(
          new FailoverOrder(
              List.of(
                  new ZoneFailoverSettings.Tier("all", Set.of(), Set.of(), Set.of(), Set.of()))));

  private static FailoverQueue.DisplacedJob displacedJob(boolean pinned, boolean isHeld) {
    TreePSet<Integer> none = TreePSet.empty();
    TreePSet<Integer> tasks = none.plus(3).plus(4);
    return new FailoverQueue.DisplacedJob(
        JOB, 0, "west", pinned, isHeld ? tasks : none, isHeld ? none : tasks, START);
  }

  private static DisplacedWork work(boolean placeable) {
    return new DisplacedWork() {
      @Override
      public TaskState state(JobId job, int task) {
        return TaskState.PENDING;
      }

      @Override
      public boolean isPlaceable(JobId job) {
        return placeable;
      }
    };
  }

  @Test
  void tasksOfOneJobDisplacedTogetherShareOneEvent() {
    log.add(JOB, 1, 7, "west");
    log.add(JOB, 2, 8, "west");
    log.add(JOB, 5, 0, "west");
    assertEquals(
        List.of(
            "zone-event displaced job=wk-1 tasks=1-2,5 attempts=7-8 tier=all zone=west"
                + " waited_s=0.0 reason=zone-lost"),
        log.displaced().stream().map(ZoneEvent::line).toList());
    assertTrue(log.isEmpty(), "each task is logged once");
  }

  @ParameterizedTest(name = "pinned {0}, placeable {1}, held {2}: {3}")
  @CsvSource({
    "true, true, true, pinned-to-zone",
    "false, false, true, backs-off-or-depends",
    "false, true, false, no-room-or-limit",
    "false, true, true, higher-tier-first"
  })
  void delayEventStatesReason(boolean pinned, boolean placeable, boolean isHeld, String reason) {
    List<ZoneEvent> events =
        log.delayed(List.of(displacedJob(pinned, isHeld)), work(placeable), START.plusSeconds(30));
    assertEquals(
        List.of(
            "zone-event delayed job=wk-1 tasks=3-4 attempts=- tier=all zone=west waited_s=30.0"
                + " reason="
                + reason),
        events.stream().map(ZoneEvent::line).toList());
  }

  @Test
  void delayIsLoggedAtIntervalsUntilJobIsRemoved() {
    List<FailoverQueue.DisplacedJob> jobs = List.of(displacedJob(false, true));
    assertEquals(0, log.delayed(jobs, work(true), START.plusSeconds(29)).size());
    assertEquals(1, log.delayed(jobs, work(true), START.plusSeconds(30)).size());
    assertEquals(0, log.delayed(jobs, work(true), START.plusSeconds(59)).size());
    log.retain(List.of());
    assertEquals(1, log.delayed(jobs, work(true), START.plusSeconds(59)).size());
  }
}
