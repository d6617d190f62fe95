package org.ternhinge.zone;

import java.util.List;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.wire.JobSpec;

/** The tiers in which the tasks of a lost zone are moved, most important first. */
final class FailoverOrder {
  private final List<ZoneFailoverSettings.Tier> tiers;

  FailoverOrder(List<ZoneFailoverSettings.Tier> tiers) {
    this.tiers = List.copyOf(tiers);
  }

  /** Returns the index of the first tier that matches a job; the last tier takes all other jobs. */
  int tierOf(JobSpec job) {
    for (int tier = 0; tier < tiers.size() - 1; tier++) {
      if (tiers.get(tier).matches(job)) {
        return tier;
      }
    }
    return tiers.size() - 1;
  }

  /** Returns the configured name of a tier. */
  String name(int tier) {
    return tiers.get(tier).name();
  }

  /** Returns the number of tiers. */
  int size() {
    return tiers.size();
  }
}
