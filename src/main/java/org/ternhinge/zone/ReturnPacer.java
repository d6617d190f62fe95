package org.ternhinge.zone;

import java.util.HashMap;
import java.util.Map;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.model.MonotonicTime;

/**
 * Limits how many tasks start in zones that are recovering: few at first, twice as many with each
 * step. Keeps one budget for each zone; guarded by its owner.
 */
final class ReturnPacer {
  private final ZoneFailoverSettings.Pace pace;
  private final Map<String, RateBudget> budgets = new HashMap<>();

  ReturnPacer(ZoneFailoverSettings.Pace pace) {
    this.pace = pace;
  }

  /** Permitted starts a second in a zone of this size at a step. */
  double rate(int step, int machines) {
    return Math.max(1, pace.startsPerMachine() * machines) * Math.pow(2, step);
  }

  /** Refills the budgets; zones that are not recovering have none. */
  void refill(ZoneSnapshot zones, MonotonicTime now) {
    budgets.keySet().removeIf(zone -> zones.state(zone) != ZoneState.RECOVERING);
    zones
        .zones()
        .forEach(
            (name, status) -> {
              if (status.state() == ZoneState.RECOVERING) {
                RateBudget budget = budgets.computeIfAbsent(name, key -> RateBudget.starting(now));
                budgets.put(name, budget.refilled(rate(status.step(), status.expected()), now));
              }
            });
  }

  /** Whether a start in a zone is permitted now; always where the zone is not paced. */
  boolean allows(String zone) {
    RateBudget budget = budgets.get(zone);
    return budget == null || budget.allows();
  }

  /** Takes the starts of tasks in a zone from its budget, which may overdraw it. */
  void take(String zone, int starts) {
    budgets.computeIfPresent(zone, (name, budget) -> budget.minus(starts));
  }
}
