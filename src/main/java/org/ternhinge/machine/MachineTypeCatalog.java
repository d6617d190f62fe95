package org.ternhinge.machine;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.model.Outcome;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.wire.MachineType;

/**
 * The machine types that the cloud offers. The catalog is refreshed periodically, since a site may
 * add types during a leadership. Guarded by the controller's lock.
 */
public final class MachineTypeCatalog {
  /** Seconds between refreshes. Types are changed manually, a few times a year. */
  private static final double REFRESH_S = 60;

  /** Seconds before a failed refresh is retried. */
  private static final double RETRY_S = 3;

  private final Cloud cloud;
  private final LeadershipExecutor executor;
  private final Map<String, MachineType> byName = new LinkedHashMap<>();

  /** Preallocated look-up results: a scheduling round looks up the type of every machine. */
  private final Map<String, Optional<MachineType>> lookups = new HashMap<>();

  private final Collection<MachineType> all = Collections.unmodifiableCollection(byName.values());

  /**
   * Creates a catalog with initial types.
   *
   * @param initialTypes the types known to this node before the leadership
   */
  public MachineTypeCatalog(
      Cloud cloud, LeadershipExecutor executor, Collection<MachineType> initialTypes) {
    this.cloud = cloud;
    this.executor = executor;
    putAll(initialTypes);
  }

  /** Adds types and replaces those with the same names. */
  public void putAll(Collection<MachineType> types) {
    for (MachineType machineType : types) {
      byName.put(machineType.name(), machineType);
      lookups.put(machineType.name(), Optional.of(machineType));
    }
  }

  /** Reads the types from the cloud now and periodically thereafter. */
  public void refresh() {
    executor.whenAnswered(cloud.machineTypes(), this::refreshed);
  }

  private void refreshed(Outcome<List<MachineType>> outcome) {
    if (outcome instanceof Outcome.Applied<List<MachineType>> applied) {
      putAll(applied.value());
      executor.schedule(REFRESH_S, this::refresh);
    } else {
      executor.schedule(RETRY_S, this::refresh);
    }
  }

  public boolean isEmpty() {
    return byName.isEmpty();
  }

  /** Returns the type with a name, without an allocation. */
  public Optional<MachineType> find(String name) {
    return lookups.getOrDefault(name, Optional.empty());
  }

  /** Returns the type of a machine, without an allocation; empty if it is unknown. */
  public Optional<MachineType> typeOf(Machine machine) {
    return find(machine.description().typeName());
  }

  /** Returns all types in the order in which they were added, as an unmodifiable live view. */
  public Collection<MachineType> all() {
    return all;
  }
}
