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

  /** The machine that is the so-manieth to be provisioned, counted from 0, never comes up. */
  public void neverComesUp(Set<Integer> machines) {
    dead.addAll(machines);
  }

  /**
   * Machines of a type come up so many times as late from now on.
   *
   * @param zone the zone, or null for all
   */
  public void slow(String type, String zone, double factor) {
    slowType = type;
    slowZone = zone;
    slowFactor = factor;
  }

  /** Lists describe the machines as they were so many seconds ago. */
  public void listLags(double seconds) {
    listLagS = seconds;
  }

  double listLagS() {
    return listLagS;
  }

  boolean neverComesUp(int machine) {
    return dead.contains(machine);
  }

  double factor(ProvisionRequest request) {
    boolean slow =
        request.type().equals(slowType) && (slowZone == null || request.zone().equals(slowZone));
    return slow ? slowFactor : 1;
  }
}
