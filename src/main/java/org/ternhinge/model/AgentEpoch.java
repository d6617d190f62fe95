package org.ternhinge.model;

/**
 * The incarnation number of an agent, the worker process of a machine. Epochs start at 1; whenever
 * its lease expires, the agent drops all tasks and starts the next epoch.
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
