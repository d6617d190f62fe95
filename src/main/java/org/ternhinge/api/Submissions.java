package org.ternhinge.api;

import java.util.Collection;
import java.util.Map;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Team;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.RecordSize;
import org.ternhinge.model.Resources;
import org.ternhinge.wire.Flavor;
import org.ternhinge.wire.JobSpec;

/** Tells jobs that can never run from those that may. */
public final class Submissions {
  private Submissions() {}

  /** Why the job can never run, or null if it can. */
  public static String against(JobSpec spec, Settings settings, Map<String, Flavor> flavors) {
    Team team = settings.teams().get(spec.team());
    if (team == null) {
      return "unknown team";
    }
    if (!fitsSome(spec, flavors.values())) {
      return "a task fits no machine type that the job allows";
    }
    int atOnce = spec.kind() == org.ternhinge.wire.JobKind.ARRAY ? 1 : spec.tasks();
    Resources need = spec.need().times(atOnce);
    if (!Ledger.within(team, need)) {
      return "needs more than the team's limit";
    }
    if (spec.dependencies().contains(spec.id())) {
      return "the job waits for itself";
    }
    if (!RecordSize.fits(spec, settings.stateLimits().valueBytes())) {
      return "the job's description is too long";
    }
    if (spec.zone() != null && spec.scatter() && atOnce > spec.zoneLimit()) {
      return "scattered tasks don't fit in one zone";
    }
    if (spec.together() && spec.scatter() && atOnce > spec.zoneLimit()) {
      return "tasks can't be both together and scattered";
    }
    return null;
  }

  private static boolean fitsSome(JobSpec spec, Collection<Flavor> flavors) {
    for (Flavor f : flavors) {
      if (spec.allowsType(f.name())
          && (spec.zone() == null || f.zones().contains(spec.zone()))
          && spec.need().fitsIn(f.capacity())) {
        return true;
      }
    }
    return false;
  }
}
