package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.http.Response;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.TaskId;
import org.ternhinge.sim.HeartbeatBuilder;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.TaskState;
import org.ternhinge.wire.TaskStatus;
import org.ternhinge.wire.WireException;

/**
 * An answer to a heartbeat renews the worker's lease. A worker with tasks that have to end must not
 * get an answer without the stop commands for them.
 */
class LeaseRenewalTest {
  private final JobId job = new JobId("wk-1");
  private SimCluster cluster;
  private SimUsers users;
  private MachineId machine;

  @BeforeEach
  void startService() {
    cluster = new SimCluster(95, 0);
    users = new SimUsers(cluster);
    cluster.clock.runFor(5);
    users.submit(SubmissionBuilder.job("wk-1", "daemon", 2).priority("production"));
    cluster.clock.runFor(40);
    machine = cluster.tasks.machinesOf(job).get(0);
  }

  private static List<Command> commands(Response answer) throws WireException {
    assertEquals(200, answer.status());
    return Command.read(Json.parse(answer.body()));
  }

  /** The answer to a direct command may overtake a heartbeat, which is answered nevertheless. */
  @Test
  void answerToOvertakenHeartbeatCarriesStops() throws WireException {
    Heartbeat last = cluster.machines.lastHeartbeat(machine);
    cluster.machineFaults.dropInbound(machine, 30);
    users.cancel(job);
    cluster.clock.runFor(2);
    Heartbeat overtaken = HeartbeatBuilder.copyOf(last).advanceSequence(-1).build();
    List<Command> commands = commands(cluster.controllers.answerTo(cluster.leader(), overtaken));
    assertTrue(
        commands.stream().anyMatch(c -> c.op() == Command.Op.STOP && c.task().job().equals(job)),
        "commands: " + commands);
  }

  /** A newer epoch ends the previous one, whose heartbeats must not be answered any more. */
  @Test
  void earlierEpochIsNotRenewed() {
    Heartbeat last = cluster.machines.lastHeartbeat(machine);
    Heartbeat next =
        HeartbeatBuilder.copyOf(last).advanceEpoch(1).sequence(1000).tasks(List.of()).build();
    assertEquals(200, cluster.controllers.answerTo(cluster.leader(), next).status());
    assertEquals(503, cluster.controllers.answerTo(cluster.leader(), last).status());
  }

  /**
   * A leader in its grace sends no stops, so it renews a lease only if all the worker's tasks may
   * run.
   */
  @ParameterizedTest(name = "a task of an unknown job: {0}")
  @CsvSource({"false, 200", "true, 503"})
  void leaderInGraceRenewsOnlyKnownTasks(boolean unknown, int status) {
    int leader = cluster.leader();
    // In an outage no node can take over; a successor's first worker would make this leader step
    // down.
    cluster.storeFaults.outage(60);
    cluster.clock.runFor(8);
    Heartbeat last = cluster.machines.lastHeartbeat(machine);
    List<TaskStatus> tasks = new ArrayList<>(last.tasks());
    if (unknown) {
      TaskId task = new TaskId(new JobId("wk-999"), 0);
      tasks.add(new TaskStatus(task, new AttemptNumber(1), TaskState.RUNNING, null, false));
    }
    Heartbeat now = HeartbeatBuilder.copyOf(last).advanceSequence(1).tasks(tasks).build();
    assertEquals(status, cluster.controllers.answerTo(leader, now).status());
  }

  /** An isolated leader renews leases only until its successor has reached a worker. */
  @Test
  void nextLeaderEndsGraceOfPreviousLeader() {
    int leader = cluster.leader();
    cluster.networkFaults.isolate(leader, 60);
    cluster.clock.runFor(10);
    Heartbeat last = cluster.machines.lastHeartbeat(machine);
    Heartbeat now = HeartbeatBuilder.copyOf(last).advanceSequence(1).build();
    assertEquals(503, cluster.controllers.answerTo(leader, now).status());
    assertEquals(2, cluster.tasks.runningTasks(job), "running tasks");
  }
}
