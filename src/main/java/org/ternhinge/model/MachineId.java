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
}
