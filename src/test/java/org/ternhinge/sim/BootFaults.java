package org.ternhinge.sim;

import java.util.HashSet;
import java.util.Set;
import org.ternhinge.wire.ProvisionRequest;

/** Faults of machines that are provisioned: they come up late or never, and lists that lag. */
public final class BootFaults {
  private final Set<Integer> dead = new HashSet<>();
  private String slowType = "";
  private String slowZone = "";
  private double slowFactor = 1;
  private double listLagS;

  /** The machines with these numbers, in the order of provisioning from 0, never come up. */
  public void neverBoots(Set<Integer> machines) {
    dead.addAll(machines);
  }

  /**
   * Multiplies the boot time of machines of a type from now on.
   *
   * @param zone the zone, or null for all
   */
  public void slowBoots(String type, String zone, double factor) {
    slowType = type;
    slowZone = zone;
    slowFactor = factor;
  }

  /** Sets the lag of machine lists, in seconds. */
  public void setListLag(double seconds) {
    listLagS = seconds;
  }

  double listLagS() {
    return listLagS;
  }

  boolean neverBoots(int machine) {
    return dead.contains(machine);
  }

  double bootTimeFactor(ProvisionRequest request) {
    boolean slow =
        request.type().equals(slowType) && (slowZone == null || request.zone().equals(slowZone));
    return slow ? slowFactor : 1;
  }
}
