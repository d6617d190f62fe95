package org.ternhinge.leadership;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.TaskState;
import org.ternhinge.wire.TaskStatus;

/** Builds heartbeats of one machine, by default for its current epoch and without tasks. */
public final class HeartbeatBuilder {
  private final MachineId machine;
  private AgentEpoch epoch;
  private long sequence = 1;
  private Term fencingToken = new Term(1);
  private String endpoint = LeadershipFixture.WORKER_ENDPOINT;
  private OptionalDouble reclaimNoticeS = OptionalDouble.empty();
  private final List<TaskStatus> tasks = new ArrayList<>();

  HeartbeatBuilder(Machine machine) {
    this.machine = machine.id();
    this.epoch = machine.agent().epoch();
  }

  /** Sets the epoch of the worker. */
  public HeartbeatBuilder epoch(long value) {
    epoch = new AgentEpoch(value);
    return this;
  }

  /** Sets the sequence number of the heartbeat in its epoch; 1 by default. */
  public HeartbeatBuilder sequence(long value) {
    sequence = value;
    return this;
  }

  /** Sets the term that the worker has seen; 1 by default. */
  public HeartbeatBuilder fencingToken(long term) {
    fencingToken = new Term(term);
    return this;
  }

  /** Sets the address for direct commands. */
  public HeartbeatBuilder endpoint(String text) {
    endpoint = text;
    return this;
  }

  /** Adds a notice that the cloud will reclaim the machine in this many seconds. */
  public HeartbeatBuilder reclaimNotice(double seconds) {
    reclaimNoticeS = OptionalDouble.of(seconds);
    return this;
  }

  /** Adds an attempt in a state other than ended. */
  public HeartbeatBuilder withTask(Attempt attempt, TaskState state) {
    return withTask(attempt.task(), attempt.number(), state);
  }

  /** Adds a task attempt, known to the ledger or not, in a state other than ended. */
  public HeartbeatBuilder withTask(TaskId task, AttemptNumber attempt, TaskState state) {
    tasks.add(new TaskStatus(task, attempt, state, null, false));
    return this;
  }

  /** Adds an ended task attempt, known to the ledger or not. */
  public HeartbeatBuilder withEndedTask(TaskId task, AttemptNumber attempt, EndReason reason) {
    tasks.add(new TaskStatus(task, attempt, TaskState.ENDED, reason, false));
    return this;
  }

  /** Builds the heartbeat. */
  public Heartbeat build() {
    return new Heartbeat(
        machine,
        endpoint,
        "small",
        "east",
        false,
        epoch,
        sequence,
        fencingToken,
        reclaimNoticeS,
        List.copyOf(tasks));
  }
}
