package org.ternhinge.machine;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;

/**
 * The machines known in the current leadership, and the names of removed ones. Names are never
 * reused, so a delayed heartbeat or listing of a removed machine is not mistaken for a new machine.
 * Guarded by the controller's lock.
 */
public final class MachineRegistry {
  /** Sorted by name, so that equal inputs produce equal plans. */
  private final Map<MachineId, Machine> machines = new TreeMap<>();

  private final Collection<Machine> all = Collections.unmodifiableCollection(machines.values());
  private final Set<MachineId> removedIds = new HashSet<>();
  private final MonotonicTime initialLeaseExpiry;

  /**
   * Creates an empty registry.
   *
   * @param initialLeaseExpiry latest possible lease expiry of a machine that has sent no heartbeat
   *     in this leadership, whichever earlier leader last renewed the lease
   */
  public MachineRegistry(MonotonicTime initialLeaseExpiry) {
    this.initialLeaseExpiry = initialLeaseExpiry;
  }

  /** Returns the machine with a name, which is added if it is not registered. */
  public Machine findOrAdd(MachineId id, MonotonicTime now) {
    return machines.computeIfAbsent(id, key -> new Machine(key, now, initialLeaseExpiry));
  }

  /** Returns the machine with a name; empty if it is unknown or was removed. */
  public Optional<Machine> find(MachineId id) {
    return Optional.ofNullable(machines.get(id));
  }

  /**
   * Returns all machines, sorted by name, as an unmodifiable live view. Iterate over a copy if
   * machines may be removed meanwhile.
   */
  public Collection<Machine> all() {
    return all;
  }

  /** Removes a machine that no longer exists. */
  public void remove(MachineId id) {
    machines.remove(id);
    removedIds.add(id);
  }

  /** Returns whether a machine was registered and removed. */
  public boolean wasRemoved(MachineId id) {
    return removedIds.contains(id);
  }
}
