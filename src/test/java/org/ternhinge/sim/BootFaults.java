package org.ternhinge.sim;

import java.util.HashSet;
import java.util.Set;
import org.ternhinge.wire.ProvisionRequest;

/**
 * Faults of machine provisioning: slow boots, machines that never boot, and stale machine lists.
 */
public final class BootFaults {
  private final Set<Integer> neverBooting = new HashSet<>();
  private String slowType = "";
  private String slowZone = "";
  private double slowFactor = 1;
  private double listLagS;

  /** Machines with these numbers, counted from 0 in order of provisioning, never finish booting. */
  public void neverBoots(Set<Integer> machines) {
    neverBooting.addAll(machines);
  }

  /**
   * Multiplies the boot time of machines of one type that are provisioned from now on.
   *
   * @param zone the zone, or null for all
   */
  public void slowBoots(String type, String zone, double factor) {
    slowType = type;
    slowZone = zone;
    slowFactor = factor;
  }

  /** Sets how far machine lists lag behind the actual state, in seconds. */
  public void setListLag(double seconds) {
    listLagS = seconds;
  }

  double listLagS() {
    return listLagS;
  }

  boolean neverBoots(int machine) {
    return neverBooting.contains(machine);
  }

  double bootTimeFactor(ProvisionRequest request) {
    boolean slow =
        request.type().equals(slowType) && (slowZone == null || request.zone().equals(slowZone));
    return slow ? slowFactor : 1;
  }
}
