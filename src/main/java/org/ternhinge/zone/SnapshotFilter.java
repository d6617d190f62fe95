package org.ternhinge.zone;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayList;
import java.util.List;
import org.pcollections.PSet;
import org.ternhinge.schedule.Snapshot;

/** Removes held tasks and zones that accept no work from the planner's snapshot. */
final class SnapshotFilter {
  private final ZoneSnapshot zones;

  SnapshotFilter(ZoneSnapshot zones) {
    this.zones = zones;
  }

  /** Returns the snapshot to plan with. */
  Snapshot filter(Snapshot full) {
    if (zones.isUnrestricted()) {
      return full;
    }
    return new Snapshot(
        machines(full.machines()),
        jobs(full.jobs()),
        expectedJobs(full),
        full.teams(),
        full.teamUse(),
        full.offers().stream().filter(offer -> acceptsWork(offer.zoneName())).toList(),
        full.pendingProvisions().stream()
            .filter(provision -> countsAsCapacity(provision.offer().zoneName()))
            .toList(),
        full.lateStartedJobs(),
        full.inventoryComplete(),
        full.maxIdleS(),
        full.now());
  }

  private boolean acceptsWork(String zone) {
    return zones.state(zone).acceptsWork();
  }

  /** Whether the machines of a zone accept tasks now or are likely to do so soon. */
  private boolean countsAsCapacity(String zone) {
    return zones.state(zone) != ZoneState.UNAVAILABLE;
  }

  private boolean acceptsStartsNow(String zone) {
    ZoneStatus status = zones.zones().get(zone);
    return status == null
        || status.state() == ZoneState.AVAILABLE
        || (status.state() == ZoneState.RECOVERING && status.startsLeft());
  }

  private List<Snapshot.MachineView> machines(List<Snapshot.MachineView> all) {
    List<Snapshot.MachineView> remaining = new ArrayList<>(all.size());
    for (Snapshot.MachineView machine : all) {
      if (countsAsCapacity(machine.zoneName())) {
        boolean unchanged = !machine.ready() || acceptsStartsNow(machine.zoneName());
        remaining.add(unchanged ? machine : machine.asNotReady());
      }
    }
    return remaining;
  }

  private List<Snapshot.JobView> jobs(List<Snapshot.JobView> all) {
    if (zones.held().isEmpty()) {
      return all;
    }
    List<Snapshot.JobView> remaining = new ArrayList<>(all.size());
    for (Snapshot.JobView job : all) {
      PSet<Integer> held = zones.held().get(job.spec().id());
      remaining.add(held == null ? job : withoutHeld(job, held));
    }
    return remaining;
  }

  /**
   * Adds held tasks as expected jobs, so that capacity is reserved or provisioned for them and
   * machines are up when they are released. Otherwise each tier would wait for machines to boot.
   */
  private List<Snapshot.JobView> expectedJobs(Snapshot full) {
    if (zones.held().isEmpty()) {
      return full.expectedJobs();
    }
    List<Snapshot.JobView> expectedJobs = new ArrayList<>(full.expectedJobs());
    for (Snapshot.JobView job : full.jobs()) {
      PSet<Integer> held = zones.held().get(job.spec().id());
      if (held != null && !job.blocked()) {
        int tasks = job.spec().isGang() ? job.spec().tasks() : held.size();
        int zoneCount = job.openByZone().size();
        expectedJobs.add(
            Snapshot.JobView.expected(job.spec().withTasks(tasks), job.sortKey(), zoneCount));
      }
    }
    return expectedJobs;
  }

  /** Returns a job without its held tasks; a gang with held tasks is blocked as a whole. */
  private static Snapshot.JobView withoutHeld(Snapshot.JobView job, PSet<Integer> held) {
    if (job.spec().isGang()) {
      return job.withPendingTasks(job.pendingTasks(), job.pendingCount(), true);
    }
    IntList pending = new IntArrayList(job.pendingTasks().size());
    for (int i = 0; i < job.pendingTasks().size(); i++) {
      int task = job.pendingTasks().getInt(i);
      if (!held.contains(task)) {
        pending.add(task);
      }
    }
    int pendingCount = Math.max(pending.size(), job.pendingCount() - held.size());
    boolean allHeld = pending.isEmpty();
    return job.withPendingTasks(pending, allHeld ? 0 : pendingCount, job.blocked() || allHeld);
  }
}
