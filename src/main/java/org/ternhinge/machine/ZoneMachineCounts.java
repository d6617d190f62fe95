package org.ternhinge.machine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/** Counts the machines of a group by zone, and those of them that satisfy a condition. */
public final class ZoneMachineCounts {
  /**
   * Machine counts of one zone.
   *
   * @param total number of machines in the group
   * @param matching number of these that satisfy the condition
   */
  public record Count(int total, int matching) {}

  private ZoneMachineCounts() {}

  /**
   * Counts machines by zone, without those of unknown zones.
   *
   * @param zones number of zones
   * @param zoneOf index of a machine's zone; negative if the zone is unknown
   * @param inGroup whether a machine belongs to the group
   * @param condition whether a machine of the group satisfies the condition
   * @return the counts by zone index
   */
  public static List<Count> of(
      Collection<Machine> machines,
      int zones,
      ToIntFunction<Machine> zoneOf,
      Predicate<Machine> inGroup,
      Predicate<Machine> condition) {
    int[] total = new int[zones];
    int[] matching = new int[zones];
    for (Machine machine : machines) {
      int zone = zoneOf.applyAsInt(machine);
      if (zone >= 0 && inGroup.test(machine)) {
        total[zone]++;
        matching[zone] += condition.test(machine) ? 1 : 0;
      }
    }
    List<Count> counts = new ArrayList<>(zones);
    for (int zone = 0; zone < zones; zone++) {
      counts.add(new Count(total[zone], matching[zone]));
    }
    return counts;
  }
}
