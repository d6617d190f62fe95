package org.ternhinge.machine;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.SteadyTime;

/**
 * The machines that one leadership knows, and the names of those that are certainly gone. A name
 * never comes back, so a late heartbeat or list that shows a removed machine can be told from a new
 * one. Guarded by the controller's lock.
 */
public final class MachineRegistry {
  /** In order of their names, so that equal inputs give equal plans. */
  private final Map<MachineId, Machine> machines = new TreeMap<>();

  private final Set<MachineId> removed = new HashSet<>();
  private final SteadyTime initialLeaseEnd;

  /**
   * Creates a registry without machines.
   *
   * @param initialLeaseEnd when the lease of a machine that this leadership has not heard from is
   *     over at the latest, whichever earlier leader renewed it last
   */
  public MachineRegistry(SteadyTime initialLeaseEnd) {
    this.initialLeaseEnd = initialLeaseEnd;
  }

  /** The machine of this name; a new entry where it was not known. */
  public Machine findOrAdd(MachineId id, SteadyTime now) {
    return machines.computeIfAbsent(id, key -> new Machine(key, now, initialLeaseEnd));
  }

  /** The machine of this name, or null. */
  public Machine find(MachineId id) {
    return machines.get(id);
  }

  /** All machines in order of their names, as a live view: copy it where machines may go. */
  public Collection<Machine> all() {
    return machines.values();
  }

  /** Forgets a machine that is certainly gone. */
  public void remove(MachineId id) {
    machines.remove(id);
    removed.add(id);
  }

  /** Whether a machine of this name was here and is certainly gone. */
  public boolean wasRemoved(MachineId id) {
    return removed.contains(id);
  }
}
