package org.ternhinge.zone;

import java.util.List;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.wire.JobSpec;

/** The tiers in which the work of a lost zone moves, the most important first. */
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

  /** The name that the operators gave a tier. */
  String name(int tier) {
    return tiers.get(tier).name();
  }

  /** The number of tiers. */
  int size() {
    return tiers.size();
  }
}
