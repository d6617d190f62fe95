package org.ternhinge.model;

/**
 * The incarnation of an agent, the worker process of a machine. The agent starts at 1 and begins
 * the next epoch, without any tasks, whenever its lease expires.
 */
public final class AgentEpoch extends SequenceNumber<AgentEpoch> {
  /** No epoch; lower than any that an agent reports. */
  public static final AgentEpoch NONE = new AgentEpoch(0);

  /** Creates an epoch from its number. */
  public AgentEpoch(long value) {
    super(value);
  }

  /** The epoch after this one. */
  public AgentEpoch next() {
    return new AgentEpoch(value() + 1);
  }
}
