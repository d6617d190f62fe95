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
 * The machines that are known in one leadership, and the names of those that are certainly gone. A
 * name is never reused, so a delayed heartbeat or listing of a removed machine is not mistaken for
 * a new machine. Guarded by the controller's lock.
 */
public final class MachineRegistry {
  /** In order of their names, so that equal inputs give equal plans. */
  private final Map<MachineId, Machine> machines = new TreeMap<>();

  private final Collection<Machine> all = Collections.unmodifiableCollection(machines.values());
  private final Set<MachineId> removed = new HashSet<>();
  private final MonotonicTime initialLeaseEnd;

  /**
   * Creates a registry without machines.
   *
   * @param initialLeaseEnd latest expiry of the lease of a machine without a heartbeat in this
   *     leadership, whichever earlier leader renewed it last
   */
  public MachineRegistry(MonotonicTime initialLeaseEnd) {
    this.initialLeaseEnd = initialLeaseEnd;
  }

  /** The machine of this name, which is added if it is not known. */
  public Machine findOrAdd(MachineId id, MonotonicTime now) {
    return machines.computeIfAbsent(id, key -> new Machine(key, now, initialLeaseEnd));
  }

  /** The machine of this name; empty where it is not known or was removed. */
  public Optional<Machine> find(MachineId id) {
    return Optional.ofNullable(machines.get(id));
  }

  /**
   * All machines in order of their names, as an unmodifiable live view: copy it where machines may
   * be removed during an iteration.
   */
  public Collection<Machine> all() {
    return all;
  }

  /** Removes a machine that is certainly gone. */
  public void remove(MachineId id) {
    machines.remove(id);
    removed.add(id);
  }

  /** Whether a machine of this name was here and is certainly gone. */
  public boolean wasRemoved(MachineId id) {
    return removed.contains(id);
  }
}
