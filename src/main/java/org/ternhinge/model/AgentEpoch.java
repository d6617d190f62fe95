package org.ternhinge.model;

/** Counts a worker's leases: every lease that runs out begins the next epoch. */
public record AgentEpoch(long value) implements Comparable<AgentEpoch> {
  public static final AgentEpoch NONE = new AgentEpoch(0);

  /** The epoch after this one. */
  public AgentEpoch next() {
    return new AgentEpoch(value + 1);
  }

  @Override
  public int compareTo(AgentEpoch other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }

  // By hand, as in the other small types that are compared and looked up for each heartbeat: what
  // the
  // compiler makes for a record goes through method handles, which the quick compiler that these
  // machines need does not see through (13 us to compare seven tasks, 0.6 us for two terms).
  @Override
  public boolean equals(Object other) {
    return other instanceof AgentEpoch t && t.value == value;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(value);
  }
}
