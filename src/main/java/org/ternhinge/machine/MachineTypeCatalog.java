package org.ternhinge.machine;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.model.Outcome;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.wire.MachineType;

/**
 * The machine types that the cloud offers, read again and again, since a site may add types while a
 * leadership lasts. Guarded by the controller's lock.
 */
public final class MachineTypeCatalog {
  /** Seconds between two readings; types change by hand, a few times a year. */
  private static final double REFRESH_S = 60;

  /** Seconds until a reading that failed is tried again. */
  private static final double RETRY_S = 3;

  private final Cloud cloud;
  private final LeadershipExecutor executor;
  private final Map<String, MachineType> byName = new LinkedHashMap<>();

  /**
   * Creates a list of machine types that begins with those that are known.
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
    known.forEach(machineType -> byName.put(machineType.name(), machineType));
  }

  /** Reads the types from the cloud, and goes on doing so. */
  public void refresh() {
    executor.whenAnswered(cloud.machineTypes(), this::refreshed);
  }

  private void refreshed(Outcome<List<MachineType>> outcome) {
    if (outcome instanceof Outcome.Applied<List<MachineType>> applied) {
      learn(applied.value());
      executor.later(REFRESH_S, this::refresh);
    } else {
      executor.later(RETRY_S, this::refresh);
    }
  }

  /** The type of this name, or null. */
  public MachineType find(String name) {
    return byName.get(name);
  }

  /** All types by name, as a live view that can't be changed. */
  public Map<String, MachineType> byName() {
    return Collections.unmodifiableMap(byName);
  }
}
