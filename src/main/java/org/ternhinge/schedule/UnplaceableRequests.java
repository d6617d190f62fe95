package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Priority;

/**
 * Which kinds of jobs have found no more room in this round. Room only gets less while a plan
 * grows, so a job that asks for as much or more, with the same rights, finds none either and need
 * not look. In a full fleet of a thousand machines each waiting job asked each of them in every
 * round, and the round's bound on evaluations was used up before the last jobs in the queue had
 * their turn, round after round.
 */
final class UnplaceableRequests {
  private record Kind(
      JobKind kind,
      Priority priority,
      String team,
      boolean guaranteed,
      boolean spot,
      boolean scatter,
      boolean together,
      String zone,
      List<String> types,
      String image,
      PlacementScope scope) {

    // By hand for the reason given at the small types; asked for each job and scope of a round.
    @Override
    public boolean equals(Object other) {
      return other instanceof Kind k
          && k.kind == kind
          && k.priority == priority
          && k.guaranteed == guaranteed
          && k.spot == spot
          && k.scatter == scatter
          && k.together == together
          && k.scope == scope
          && Objects.equals(k.team, team)
          && Objects.equals(k.zone, zone)
          && Objects.equals(k.types, types)
          && Objects.equals(k.image, image);
    }

    @Override
    public int hashCode() {
      int flags = (spot ? 1 : 0) + (scatter ? 2 : 0) + (together ? 4 : 0) + (guaranteed ? 8 : 0);
      int kinds = 8 * kind.word().hashCode() + priority.level();
      return 31 * (31 * flags + kinds) + Objects.hashCode(team) + Objects.hashCode(image);
    }
  }

  private final Map<Kind, List<Resources>> found = new HashMap<>();

  private static Kind kind(JobView job, PlacementScope scope, boolean stops) {
    JobSpec spec = job.spec();
    return new Kind(
        spec.kind(),
        spec.priority(),
        stops ? spec.team() : null,
        stops && job.guaranteed(),
        spec.spotAllowed(),
        spec.scatter(),
        spec.together(),
        spec.zone(),
        spec.types(),
        scope.cached() ? spec.image() : null,
        scope);
  }

  /** Whether a job need not be tried; one with reserved places always is. */
  boolean holds(JobView job, PlacementScope scope, boolean stops) {
    if (found.isEmpty() || job.reservedTasks() > 0) {
      return false;
    }
    for (Resources least : found.getOrDefault(kind(job, scope, stops), List.of())) {
      if (least.fitsIn(job.spec().need())) {
        return true;
      }
    }
    return false;
  }

  /**
   * A job has looked everywhere and wanted more. That says nothing of others where it was kept from
   * a machine by what is its own: tasks in a zone, or machines that it failed on.
   */
  void note(JobView job, int[] zones, PlacementScope scope, boolean stops) {
    JobSpec spec = job.spec();
    if (!job.avoid().isEmpty()) {
      return;
    }
    for (int there : zones) {
      if (there >= spec.zoneLimit() || (spec.together() && there > 0)) {
        return;
      }
    }
    found.computeIfAbsent(kind(job, scope, stops), k -> new ArrayList<>()).add(spec.need());
  }
}
