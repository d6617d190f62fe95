package org.ternhinge.model;

/**
 * The name of a machine, given by the cloud. The order of names is the order of creation.
 *
 * @param value the name as messages carry it
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

  // Written out for speed; the package documentation says why.
  @Override
  public boolean equals(Object other) {
    return other instanceof MachineId that && that.value.equals(value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
