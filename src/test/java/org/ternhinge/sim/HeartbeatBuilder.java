package org.ternhinge.sim;

import java.util.List;
import java.util.OptionalDouble;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.TaskStatus;

/** Builds heartbeats for tests as variants of a heartbeat that a simulated worker sent. */
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

  /** Starts with a copy of a heartbeat. */
  public static HeartbeatBuilder copyOf(Heartbeat original) {
    return new HeartbeatBuilder(original);
  }

  /** Advances the epoch by the given number; the sequence number stays. */
  public HeartbeatBuilder advanceEpoch(int epochs) {
    epoch = new AgentEpoch(original.epoch().value() + epochs);
    return this;
  }

  /** Sets the sequence number. */
  public HeartbeatBuilder sequence(long number) {
    sequence = number;
    return this;
  }

  /** Advances the sequence number by the given amount, which may be negative. */
  public HeartbeatBuilder advanceSequence(int by) {
    return sequence(original.sequence() + by);
  }

  /** Sets the states of the tasks. */
  public HeartbeatBuilder tasks(List<TaskStatus> statuses) {
    tasks = statuses;
    return this;
  }

  /** Builds the heartbeat, without a reclaim notice. */
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
