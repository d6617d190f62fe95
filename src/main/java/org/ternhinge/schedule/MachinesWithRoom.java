package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Machines that may have room for the smallest request of a round. Full machines are removed in
 * bulk once there are many, so that later searches do not evaluate them again. The order of the
 * others is kept.
 */
final class MachinesWithRoom {
  /** Full machines are removed once more than one in this many machines is full. */
  private static final int REMOVAL_RATIO = 4;

  /** CPU of the smallest request, in thousandths; a machine with less free CPU is full. */
  private final long smallestRequestCpus;

  private final List<MachineCapacity> machines = new ArrayList<>();

  MachinesWithRoom(long smallestRequestCpus) {
    this.smallestRequestCpus = smallestRequestCpus;
  }

  boolean isFull(MachineCapacity machine) {
    return machine.freeCpus() < smallestRequestCpus;
  }

  void add(MachineCapacity machine) {
    machines.add(machine);
  }

  int size() {
    return machines.size();
  }

  MachineCapacity get(int index) {
    return machines.get(index);
  }

  /** All machines that were added and not removed; callers must not modify the list. */
  List<MachineCapacity> all() {
    return machines;
  }

  /**
   * Removes the full machines if there are many.
   *
   * @param fullCount number of full machines that the caller has counted
   */
  void removeFullIfMany(int fullCount) {
    if (fullCount * REMOVAL_RATIO > machines.size()) {
      machines.removeIf(this::isFull);
    }
  }

  /** Counts the full machines and removes them if there are many. */
  void removeFullIfMany() {
    int full = 0;
    for (MachineCapacity machine : machines) {
      if (isFull(machine)) {
        full++;
      }
    }
    removeFullIfMany(full);
  }
}
