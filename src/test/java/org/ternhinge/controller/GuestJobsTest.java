package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;

/** Work of low priority, of a team beyond its guarantee, beside work of others. */
class GuestJobsTest {
  private static final double WRITES = 30;

  private final DependentJobs cluster =
      DependentJobs.withoutComingLimits(37, new SimCluster.Size(3, 2, 2000, WRITES));

  private JobId submit(String id, int tasks, double cpus, double runsS, String priority) {
    ObjectNode body =
        DependentJobs.job(id, tasks, runsS, List.of())
            .put("cpus", cpus)
            .put("forgang", priority)
            .put("lanvelar", true);
    cluster.users.submit(body);
    return DependentJobs.idOf(body);
  }

  /**
   * The fleet is full of work of normal priority, and more waits all the time. A long array of
   * short tasks was started once, after two minutes, and then stayed where it was for ever.
   */
  @Test
  void manyShortTasksAreDoneInAFullFleet() {
    List<JobId> others = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      others.add(submit("wk-1" + i, 150, 2, 20, "normal"));
    }
    cluster.run(15);
    JobId low = submit("wk-2", 200, 0.25, 3, "low");
    cluster.run(300);
    assertTrue(
        cluster.world.completedTasks(low) == 200,
        cluster.world.completedTasks(low) + " tasks done");
    int left = others.stream().mapToInt(cluster.world::completedTasks).sum();
    assertTrue(left < 1500, "the fleet was full all the time");
    cluster.nothingBroken();
  }

  /** What goes ahead of its priority is a small part of the fleet. */
  @Test
  void theOthersLoseLittle() {
    for (int i = 0; i < 10; i++) {
      submit("wk-1" + i, 150, 2, 20, "normal");
    }
    cluster.run(140);
    List<JobId> low = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      low.add(submit("wk-2" + i, 100, 1, 60, "low"));
    }
    for (int t = 0; t < 100; t++) {
      cluster.run(2);
      int running = low.stream().mapToInt(cluster.world.tasks::runningTasks).sum();
      // 160 CPUs are there; a job's first tasks after long go as before.
      assertTrue(running <= 160 * 0.02 + 50, running + " tasks run ahead of their priority");
    }
    cluster.nothingBroken();
  }

  /** A swarm of tiny jobs keeps no job within a guarantee from starting. */
  @ParameterizedTest(name = "{0} tiny jobs")
  @CsvSource({"100", "300"})
  void aSwarmDelaysNoGuaranteedWork(int tiny) {
    submit("wk-0", 4, 2, 10, "normal");
    cluster.run(25);
    for (int i = 0; i < tiny; i++) {
      submit(String.format("wk-3%03d", i), 1, 1, 2, "low");
    }
    cluster.run(1);
    JobId urgent = submit("wk-4", 2, 2, 5, "high");
    cluster.run(9);
    assertTrue(cluster.world.tasks.began(urgent).isPresent(), "it has not begun");
    cluster.run(200);
    for (int i = 0; i < tiny; i++) {
      assertEquals("done", cluster.users.lastTold(new JobId(String.format("wk-3%03d", i))));
    }
    cluster.nothingBroken();
  }
}
