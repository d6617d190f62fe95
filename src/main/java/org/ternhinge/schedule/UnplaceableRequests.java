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
 * The requests for which a search of this round found no more room. Room only gets less while a
 * plan grows, so a job with the same constraints that requests as much or more finds none either,
 * and its search is skipped. In a full fleet of a thousand machines every waiting job was evaluated
 * against every machine in every round, which used up the round's evaluations before the last jobs
 * in the queue had their turn.
 */
final class UnplaceableRequests {
  /**
   * Jobs that share the result of a search.
   *
   * @param team null where the search is for free room
   * @param image null where the scope does not ask for it
   */
  private record Key(
      PlacementConstraints constraints,
      PlacementScope scope,
      boolean withinGuarantee,
      String team,
      String image) {

    // Written by hand for the reason given at PlacementConstraints.
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
    /** Among what is free. */
    FREE_ROOM,
    /** By preempting others, which depends on the job's team and its guarantee. */
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
        scope.cached() ? spec.image() : null);
  }

  /** Whether a search would find nothing. Never so for a job with reserved room. */
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
   * Records that a search found less room than a job requests. That does not apply to other jobs
   * where this one's own tasks in a zone, or machines that it failed on, limited the search: then
   * nothing is recorded.
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
