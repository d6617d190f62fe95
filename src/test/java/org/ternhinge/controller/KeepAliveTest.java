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
 * An answer to a heartbeat renews the worker's lease. No worker whose tasks have to end may get an
 * answer without the stop commands.
 */
class KeepAliveTest {
  private final JobId job = new JobId("wk-1");
  private SimCluster world;
  private SimUsers users;
  private MachineId machine;

  @BeforeEach
  void aServiceRuns() {
    world = new SimCluster(95, 0);
    users = new SimUsers(world);
    world.clock.runFor(5);
    users.submit(SubmissionBuilder.job("wk-1", "daemon", 2).priority("production"));
    world.clock.runFor(40);
    machine = world.tasks.machinesOf(job).get(0);
  }

  private static List<Command> commands(Response answer) throws WireException {
    assertEquals(200, answer.status());
    return Command.read(Json.parse(answer.body()));
  }

  /** The answer to a direct command may overtake a heartbeat, whose answer arrives all the same. */
  @Test
  void anAnswerToAnOvertakenHeartbeatCarriesTheStops() throws WireException {
    Heartbeat last = world.machines.lastHeartbeat(machine);
    world.machineFaults.dropInbound(machine, 30);
    users.cancel(job);
    world.clock.runFor(2);
    Heartbeat overtaken = HeartbeatBuilder.copyOf(last).advanceSequence(-1).build();
    List<Command> commands = commands(world.controllers.answerTo(world.leader(), overtaken));
    assertTrue(
        commands.stream().anyMatch(c -> c.op() == Command.Op.STOP && c.task().job().equals(job)),
        "commands: " + commands);
  }

  /** An epoch that is followed by another one has ended; its heartbeats must not be answered. */
  @Test
  void anEarlierEpochsLeaseIsNotRenewed() {
    Heartbeat last = world.machines.lastHeartbeat(machine);
    Heartbeat next =
        HeartbeatBuilder.copyOf(last).advanceEpoch(1).sequence(1000).tasks(List.of()).build();
    assertEquals(200, world.controllers.answerTo(world.leader(), next).status());
    assertEquals(503, world.controllers.answerTo(world.leader(), last).status());
  }

  /** A leader in its grace sends no stops, so it renews leases only where all tasks may run. */
  @ParameterizedTest(name = "a task of an unknown job: {0}")
  @CsvSource({"false, 200", "true, 503"})
  void inItsGraceALeaderRenewsLeasesOfKnownTasksOnly(boolean unknown, int status) {
    int leader = world.leader();
    // Nobody can take over: the first worker of a next leader would make this one step down.
    world.storeFaults.outage(60);
    world.clock.runFor(8);
    Heartbeat last = world.machines.lastHeartbeat(machine);
    List<TaskStatus> tasks = new ArrayList<>(last.tasks());
    if (unknown) {
      TaskId task = new TaskId(new JobId("wk-999"), 0);
      tasks.add(new TaskStatus(task, new AttemptNumber(1), TaskState.RUNNING, null, false));
    }
    Heartbeat now = HeartbeatBuilder.copyOf(last).advanceSequence(1).tasks(tasks).build();
    assertEquals(status, world.controllers.answerTo(leader, now).status());
  }

  /** A leader that is cut off renews leases only until its successor has reached a worker. */
  @Test
  void theNextLeaderEndsTheGraceOfTheLast() {
    int leader = world.leader();
    world.networkFaults.isolate(leader, 60);
    world.clock.runFor(10);
    Heartbeat last = world.machines.lastHeartbeat(machine);
    Heartbeat now = HeartbeatBuilder.copyOf(last).advanceSequence(1).build();
    assertEquals(503, world.controllers.answerTo(leader, now).status());
    assertEquals(2, world.tasks.runningTasks(job), "tasks that go on");
  }
}
