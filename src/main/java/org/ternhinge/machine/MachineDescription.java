package org.ternhinge.machine;

import java.util.List;

/**
 * What a machine is: its type, its zone and whether it is a spot instance.
 *
 * @param typeName name of the machine type
 * @param zone index of the zone in the settings; negative where the settings don't name it
 * @param zoneName name of the zone
 * @param spot whether the cloud may reclaim the machine at any time
 */
public record MachineDescription(String typeName, int zone, String zoneName, boolean spot) {
  /** Describes a machine of which only the name is known, such as one in a recovered attempt. */
  public static final MachineDescription UNKNOWN = new MachineDescription("", -1, "", false);

  /** Describes a machine whose zone is known by name, given the names of all zones. */
  public static MachineDescription of(
      String typeName, String zoneName, boolean spot, List<String> zones) {
    return new MachineDescription(typeName, zones.indexOf(zoneName), zoneName, spot);
  }

  /** Whether more than the machine's name is known. */
  public boolean isKnown() {
    return !typeName.isEmpty();
  }

  /** Whether the machine is known to have exactly these attributes. */
  public boolean matches(String otherType, String otherZone, boolean otherSpot) {
    return isKnown()
        && typeName.equals(otherType)
        && zoneName.equals(otherZone)
        && spot == otherSpot;
  }
}
