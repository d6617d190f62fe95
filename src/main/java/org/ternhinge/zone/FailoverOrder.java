package org.ternhinge.zone;

import java.util.List;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.wire.JobSpec;

/** The order in which the work of a lost zone moves: tiers, the most important first. */
final class FailoverOrder {
  private final List<ZoneFailoverSettings.Tier> tiers;

  FailoverOrder(List<ZoneFailoverSettings.Tier> tiers) {
    this.tiers = List.copyOf(tiers);
  }

  /** The number of the first tier that a job belongs to; the last one takes the rest. */
  int tierOf(JobSpec job) {
    for (int tier = 0; tier < tiers.size() - 1; tier++) {
      if (tiers.get(tier).matches(job)) {
        return tier;
      }
    }
    return tiers.size() - 1;
  }

  /** How operators call a tier. */
  String name(int tier) {
    return tiers.get(tier).name();
  }

  /** How many tiers there are. */
  int size() {
    return tiers.size();
  }
}
