package org.ternhinge.machine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/** Counts machines by zone, and how many of them are marked for some reason. */
public final class ZoneMachineCounts {
  /**
   * The machines of one zone.
   *
   * @param counted machines that are looked at
   * @param marked of these, how many the reason holds for
   */
  public record Count(int counted, int marked) {}

  private ZoneMachineCounts() {}

  /**
   * Counts machines.
   *
   * @param zones how many zones there are
   * @param zoneOf the number of a machine's zone; negative where it is not known
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
