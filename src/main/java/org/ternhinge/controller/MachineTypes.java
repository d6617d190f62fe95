package org.ternhinge.controller;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.model.Outcome;
import org.ternhinge.wire.Flavor;

/**
 * The machine types that the cloud offers, read again and again, since a site may add types while a
 * leadership lasts. Guarded by the controller's lock.
 */
final class MachineTypes {
  /** Seconds between two readings; types change by hand, a few times a year. */
  private static final double REFRESH_S = 60;

  /** Seconds until a reading that failed is tried again. */
  private static final double RETRY_S = 3;

  private final Cloud cloud;
  private final LeadershipExecutor executor;
  private final Map<String, Flavor> byName = new LinkedHashMap<>();

  /**
   * Creates a list of machine types that begins with those that are known.
   *
   * @param known the types that the node knew before this leadership
   */
  MachineTypes(Cloud cloud, LeadershipExecutor executor, Collection<Flavor> known) {
    this.cloud = cloud;
    this.executor = executor;
    learn(known);
  }

  /** Adds types, or replaces those of the same names. */
  void learn(Collection<Flavor> known) {
    known.forEach(flavor -> byName.put(flavor.name(), flavor));
  }

  /** Reads the types from the cloud, and goes on doing so. */
  void refresh() {
    executor.whenAnswered(cloud.flavors(), this::refreshed);
  }

  private void refreshed(Outcome<List<Flavor>> outcome) {
    if (outcome instanceof Outcome.Applied<List<Flavor>> applied) {
      learn(applied.value());
      executor.later(REFRESH_S, this::refresh);
    } else {
      executor.later(RETRY_S, this::refresh);
    }
  }

  /** The type of this name, or null. */
  Flavor find(String name) {
    return byName.get(name);
  }

  /** All types by name, as a live view that can't be changed. */
  Map<String, Flavor> byName() {
    return Collections.unmodifiableMap(byName);
  }
}
