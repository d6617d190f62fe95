package org.ternhinge.model;

/**
 * The name of a machine, assigned by the cloud. Names sort in order of creation.
 *
 * @param value the name in the form used in messages
 */
public record MachineId(String value) implements Comparable<MachineId> {
  @Override
  public int compareTo(MachineId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  // Explicit for performance; see the package documentation.
  @Override
  public boolean equals(Object other) {
    return other instanceof MachineId that && that.value.equals(value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
