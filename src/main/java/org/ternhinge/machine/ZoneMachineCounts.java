package org.ternhinge.machine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/** Counts by zone the machines of a group, and how many of these satisfy a condition. */
public final class ZoneMachineCounts {
  /**
   * The machines of one zone.
   *
   * @param counted number of machines in the group
   * @param marked number of these that satisfy the condition
   */
  public record Count(int counted, int marked) {}

  private ZoneMachineCounts() {}

  /**
   * Counts machines; those of an unknown zone are left out.
   *
   * @param zones number of zones
   * @param zoneOf index of a machine's zone; negative where the zone is not known
   * @param isCounted whether a machine belongs to the group
   * @param isMarked whether a machine of the group satisfies the condition
   * @return the counts of each zone, by its index
   */
  public static List<Count> of(
      Collection<Machine> machines,
      int zones,
      ToIntFunction<Machine> zoneOf,
      Predicate<Machine> isCounted,
      Predicate<Machine> isMarked) {
    int[] counted = new int[zones];
    int[] marked = new int[zones];
    for (Machine machine : machines) {
      int zone = zoneOf.applyAsInt(machine);
      if (zone >= 0 && isCounted.test(machine)) {
        counted[zone]++;
        marked[zone] += isMarked.test(machine) ? 1 : 0;
      }
    }
    List<Count> counts = new ArrayList<>(zones);
    for (int zone = 0; zone < zones; zone++) {
      counts.add(new Count(counted[zone], marked[zone]));
    }
    return counts;
  }
}
