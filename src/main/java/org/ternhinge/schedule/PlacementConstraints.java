package org.ternhinge.schedule;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Priority;

/**
 * The properties of a job, besides its resource request, that decide where its tasks may be placed.
 * Jobs with equal constraints share the result of a search. Used in map keys within one round.
 */
record PlacementConstraints(
    JobKind kind,
    Priority priority,
    boolean spotAllowed,
    boolean scatter,
    boolean together,
    Optional<String> zone,
    List<String> machineTypes) {

  /** All constraints of a job. */
  static PlacementConstraints of(JobSpec spec) {
    return of(spec, spec.spreadAcrossZones(), spec.singleZone());
  }

  /** The constraints that can be checked for one machine; distribution over zones is left out. */
  static PlacementConstraints ofSingleMachine(JobSpec spec) {
    return of(spec, false, false);
  }

  private static PlacementConstraints of(JobSpec spec, boolean scatter, boolean together) {
    return new PlacementConstraints(
        spec.kind(),
        spec.priority(),
        spec.spotAllowed(),
        scatter,
        together,
        spec.zone(),
        spec.types());
  }

  // Written by hand because the generated methods of records are slow until the JIT has compiled
  // them, and these run for each job and scope of a round.
  @Override
  public boolean equals(Object other) {
    return other instanceof PlacementConstraints that
        && that.kind == kind
        && that.priority == priority
        && that.spotAllowed == spotAllowed
        && that.scatter == scatter
        && that.together == together
        && Objects.equals(that.zone, zone)
        && Objects.equals(that.machineTypes, machineTypes);
  }

  @Override
  public int hashCode() {
    int flags = (spotAllowed ? 1 : 0) + (scatter ? 2 : 0) + (together ? 4 : 0);
    return 31 * flags + 8 * kind.wireName().hashCode() + priority.level();
  }
}
