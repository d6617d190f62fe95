package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.http.Response;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.TaskId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.Specs;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.TaskState;
import org.ternhinge.wire.TaskStatus;
import org.ternhinge.wire.WireException;

/**
 * An answer to a heartbeat renews the lease of the worker that hears it. None may go to a worker
 * whose tasks are to end unless it carries the stop.
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
    users.submit(Specs.json("wk-1", "daemon", 2).put("forgang", "production"));
    world.clock.runFor(40);
    machine = world.tasks.machinesOf(job).get(0);
  }

  private static Heartbeat with(
      Heartbeat heartbeat, AgentEpoch epoch, long sequence, List<TaskStatus> tasks) {
    return new Heartbeat(
        heartbeat.machine(),
        heartbeat.endpoint(),
        heartbeat.type(),
        heartbeat.zone(),
        heartbeat.spot(),
        epoch,
        sequence,
        heartbeat.fencingToken(),
        OptionalDouble.empty(),
        tasks);
  }

  private static List<Command> commands(Response answer) throws WireException {
    assertEquals(200, answer.status());
    return Command.read(Json.parse(answer.body()));
  }

  /**
   * A direct order's answer may overtake a heartbeat; the worker hears the heartbeat's answer all
   * the same.
   */
  @Test
  void anAnswerToAnOvertakenHeartbeatCarriesTheStops() throws WireException {
    Heartbeat last = world.lastHeartbeat(machine);
    world.machineFaults.deafen(machine, 30);
    users.cancel(job);
    world.clock.runFor(2);
    Heartbeat overtaken = with(last, last.epoch(), last.sequence() - 1, last.tasks());
    List<Command> told = commands(world.answerTo(world.leader(), overtaken));
    assertTrue(
        told.stream().anyMatch(c -> c.op() == Command.Op.STOP && c.task().job().equals(job)),
        "told " + told);
  }

  /** Epochs before the one known are over: whoever still waits for an answer must not get one. */
  @Test
  void anEarlierEpochIsNotKeptAlive() {
    Heartbeat last = world.lastHeartbeat(machine);
    Heartbeat next = with(last, new AgentEpoch(last.epoch().value() + 1), 1000, List.of());
    assertEquals(200, world.answerTo(world.leader(), next).status());
    assertEquals(503, world.answerTo(world.leader(), last).status());
  }

  /** A leader that can't prove to lead gives no stops, so it keeps alive only what may run. */
  @ParameterizedTest(name = "a task nobody knows: {0}")
  @CsvSource({"false, 200", "true, 503"})
  void inItsGraceALeaderKeepsAliveOnlyWhatItKnows(boolean unknown, int status) {
    int leader = world.leader();
    // Nobody can take over; a next leader would have it step down by the first worker it tells.
    world.stateFaults.outage(60);
    world.clock.runFor(8);
    Heartbeat last = world.lastHeartbeat(machine);
    List<TaskStatus> tasks = new ArrayList<>(last.tasks());
    if (unknown) {
      TaskId task = new TaskId(new JobId("wk-999"), 0);
      tasks.add(new TaskStatus(task, new AttemptNumber(1), TaskState.RUNNING, null, false));
    }
    Heartbeat now = with(last, last.epoch(), last.sequence() + 1, tasks);
    assertEquals(status, world.answerTo(leader, now).status());
  }

  /** A leader that is cut off keeps its workers no longer than until the next one has told one. */
  @Test
  void theNextLeaderEndsTheGrace() {
    int leader = world.leader();
    world.networkFaults.cutOff(leader, 60);
    world.clock.runFor(10);
    Heartbeat last = world.lastHeartbeat(machine);
    Heartbeat now = with(last, last.epoch(), last.sequence() + 1, last.tasks());
    assertEquals(503, world.answerTo(leader, now).status());
    assertEquals(2, world.tasks.runningTasks(job), "tasks that go on");
  }
}
