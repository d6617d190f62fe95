package org.ternhinge.machine;

import java.util.List;

/**
 * The type and zone of a machine and whether it is a spot machine.
 *
 * @param typeName name of the machine type
 * @param zone index of the zone in the settings; negative if the settings do not contain it
 * @param zoneName name of the zone
 * @param spot whether the cloud may reclaim the machine at any time
 */
public record MachineDescription(String typeName, int zone, String zoneName, boolean spot) {
  /**
   * Description of a machine of which only the name is known, such as one in a recovered attempt.
   */
  public static final MachineDescription UNKNOWN = new MachineDescription("", -1, "", false);

  /** Creates the description of a machine in a named zone, given the names of all zones. */
  public static MachineDescription of(
      String typeName, String zoneName, boolean spot, List<String> zones) {
    return new MachineDescription(typeName, zones.indexOf(zoneName), zoneName, spot);
  }

  /** Returns whether the attributes of the machine are known. */
  public boolean isKnown() {
    return !typeName.isEmpty();
  }

  /** Returns whether the attributes are known and equal to the given ones. */
  public boolean matches(String otherType, String otherZone, boolean otherSpot) {
    return isKnown()
        && typeName.equals(otherType)
        && zoneName.equals(otherZone)
        && spot == otherSpot;
  }
}
