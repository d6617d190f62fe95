package org.ternhinge.model;

/** A machine's name, given by the cloud. */
public record MachineId(String value) implements Comparable<MachineId> {
  @Override
  public int compareTo(MachineId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  // By hand, as in the other small types that are compared and looked up for each heartbeat: what
  // the
  // compiler makes for a record goes through method handles, which the quick compiler that these
  // machines need does not see through (13 us to compare seven tasks, 0.6 us for two terms).
  @Override
  public boolean equals(Object other) {
    return other instanceof MachineId t && t.value.equals(value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
