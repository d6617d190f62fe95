package org.ternhinge.sim;

import java.util.List;
import org.ternhinge.model.Resources;
import org.ternhinge.wire.Flavor;

/** The machine types that the simulated cloud offers. */
public final class SimFlavors {
  /** The types, offered in the two usual zones. */
  public static final List<Flavor> ALL = in(ClusterSettings.ZONES);

  private SimFlavors() {}

  /** The types, offered in these zones. */
  public static List<Flavor> in(List<String> zones) {
    return List.of(
        new Flavor("small", Resources.offer(4, 0, 16), 4, 0, 16, 50, 1, 0.2, 0.1, 5, zones),
        new Flavor("fast", Resources.offer(16, 2, 64), 16, 2, 64, 50, 1, 3, 1, 8, zones));
  }
}
