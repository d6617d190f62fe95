package org.ternhinge.sim;

import java.util.List;
import java.util.OptionalDouble;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.TaskStatus;

/** Builds heartbeats for tests as variants of one that a simulated worker has sent. */
public final class HeartbeatBuilder {
  private final Heartbeat original;
  private AgentEpoch epoch;
  private long sequence;
  private List<TaskStatus> tasks;

  private HeartbeatBuilder(Heartbeat original) {
    this.original = original;
    this.epoch = original.epoch();
    this.sequence = original.sequence();
    this.tasks = original.tasks();
  }

  /** Begins with a copy of a heartbeat. */
  public static HeartbeatBuilder copyOf(Heartbeat original) {
    return new HeartbeatBuilder(original);
  }

  /** Moves to an epoch so many later; the sequence goes on. */
  public HeartbeatBuilder advanceEpoch(int epochs) {
    epoch = new AgentEpoch(original.epoch().value() + epochs);
    return this;
  }

  /** Sets the sequence number. */
  public HeartbeatBuilder sequence(long number) {
    sequence = number;
    return this;
  }

  /** Sets a sequence number that is so much higher, or lower where negative. */
  public HeartbeatBuilder advanceSequence(int by) {
    return sequence(original.sequence() + by);
  }

  /** Sets the states of the tasks. */
  public HeartbeatBuilder tasks(List<TaskStatus> statuses) {
    tasks = statuses;
    return this;
  }

  /** The heartbeat, without a reclaim notice. */
  public Heartbeat build() {
    return new Heartbeat(
        original.machine(),
        original.endpoint(),
        original.type(),
        original.zone(),
        original.spot(),
        epoch,
        sequence,
        original.fencingToken(),
        OptionalDouble.empty(),
        tasks);
  }
}
