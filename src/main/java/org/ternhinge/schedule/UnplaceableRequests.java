package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.wire.JobSpec;

/**
 * The requests for which a search in this round found no more room. Free room only shrinks while a
 * plan is built, so the search is skipped for a job with the same constraints that requests as much
 * or more. Without this, every waiting job in a full fleet of a thousand machines was evaluated
 * against every machine in every round, which used up the round's evaluations before it reached the
 * last jobs in the queue.
 */
final class UnplaceableRequests {
  /**
   * Jobs that share the result of a search.
   *
   * @param team the job's team; null if the search is for free room
   * @param image the job's image; null if the scope does not require it to be cached
   */
  private record Key(
      PlacementConstraints constraints,
      PlacementScope scope,
      boolean withinGuarantee,
      String team,
      String image) {

    // Written by hand for the reason given in PlacementConstraints.
    @Override
    public boolean equals(Object other) {
      return other instanceof Key that
          && that.withinGuarantee == withinGuarantee
          && that.scope == scope
          && that.constraints.equals(constraints)
          && Objects.equals(that.team, team)
          && Objects.equals(that.image, image);
    }

    @Override
    public int hashCode() {
      int hash = 31 * constraints.hashCode() + (withinGuarantee ? 1 : 0);
      return 31 * hash + Objects.hashCode(team) + Objects.hashCode(image);
    }
  }

  /** How room is searched for. */
  enum Search {
    /** In free room, without preemption. */
    FREE_ROOM,
    /** By preempting other tasks, which depends on the job's team and its guarantee. */
    PREEMPTION
  }

  private final Search search;
  private final Map<Key, List<Resources>> needsByKey = new HashMap<>();

  UnplaceableRequests(Search search) {
    this.search = search;
  }

  private Key key(JobView job, PlacementScope scope) {
    JobSpec spec = job.spec();
    boolean preempts = search == Search.PREEMPTION;
    return new Key(
        PlacementConstraints.of(spec),
        scope,
        preempts && job.withinGuarantee(),
        preempts ? spec.team() : null,
        scope.imageCached() ? spec.image() : null);
  }

  /** Whether a search is known to find nothing. Always false for a job with reservations. */
  boolean contains(JobView job, PlacementScope scope) {
    if (needsByKey.isEmpty() || job.reservedTasks() > 0) {
      return false;
    }
    for (Resources unplaceable : needsByKey.getOrDefault(key(job, scope), List.of())) {
      if (unplaceable.fitsIn(job.spec().taskResources())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Records that a search found less room than a job requests. Records nothing if the search was
   * limited by the job's own tasks in a zone or by machines that it avoids, because the result then
   * does not apply to other jobs.
   */
  void add(JobView job, int[] tasksByZone, PlacementScope scope) {
    JobSpec spec = job.spec();
    if (!job.avoidedMachines().isEmpty()) {
      return;
    }
    for (int tasks : tasksByZone) {
      if (tasks >= spec.maxTasksPerZone() || (spec.singleZone() && tasks > 0)) {
        return;
      }
    }
    needsByKey.computeIfAbsent(key(job, scope), key -> new ArrayList<>()).add(spec.taskResources());
  }
}
