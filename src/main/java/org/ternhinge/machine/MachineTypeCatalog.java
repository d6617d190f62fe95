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
 * The machine types that the cloud offers. They are refreshed periodically, since a site may add
 * types during a leadership. Guarded by the controller's lock.
 */
public final class MachineTypeCatalog {
  /** Seconds between two refreshes; types are changed by hand, a few times a year. */
  private static final double REFRESH_S = 60;

  /** Seconds until a refresh that failed is retried. */
  private static final double RETRY_S = 3;

  private final Cloud cloud;
  private final LeadershipExecutor executor;
  private final Map<String, MachineType> byName = new LinkedHashMap<>();

  /**
   * The results of look-ups, each allocated once: a scheduling round looks up the type of every
   * machine.
   */
  private final Map<String, Optional<MachineType>> lookups = new HashMap<>();

  private final Collection<MachineType> all = Collections.unmodifiableCollection(byName.values());

  /**
   * Creates a catalog that starts with the known types.
   *
   * @param known the types that the node knew before this leadership
   */
  public MachineTypeCatalog(
      Cloud cloud, LeadershipExecutor executor, Collection<MachineType> known) {
    this.cloud = cloud;
    this.executor = executor;
    learn(known);
  }

  /** Adds types, or replaces those of the same names. */
  public void learn(Collection<MachineType> known) {
    for (MachineType machineType : known) {
      byName.put(machineType.name(), machineType);
      lookups.put(machineType.name(), Optional.of(machineType));
    }
  }

  /** Reads the types from the cloud now and periodically from then on. */
  public void refresh() {
    executor.whenAnswered(cloud.machineTypes(), this::refreshed);
  }

  private void refreshed(Outcome<List<MachineType>> outcome) {
    if (outcome instanceof Outcome.Applied<List<MachineType>> applied) {
      learn(applied.value());
      executor.schedule(REFRESH_S, this::refresh);
    } else {
      executor.schedule(RETRY_S, this::refresh);
    }
  }

  /** Whether no type is known yet. */
  public boolean isEmpty() {
    return byName.isEmpty();
  }

  /** The type of this name. Allocates nothing. */
  public Optional<MachineType> find(String name) {
    return lookups.getOrDefault(name, Optional.empty());
  }

  /** The type of a machine; empty while it is not known. Allocates nothing. */
  public Optional<MachineType> typeOf(Machine machine) {
    return find(machine.description().typeName());
  }

  /** All types in the order in which they became known, as an unmodifiable live view. */
  public Collection<MachineType> all() {
    return all;
  }
}
