package org.ternhinge.zone;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayList;
import java.util.List;
import org.pcollections.PSet;
import org.ternhinge.schedule.Snapshot;

/** Shows the planner only the zones that take work, and only the tasks that are not held. */
final class SnapshotFilter {
  private final ZoneSnapshot zones;

  SnapshotFilter(ZoneSnapshot zones) {
    this.zones = zones;
  }

  Snapshot filter(Snapshot full) {
    if (zones.isCalm()) {
      return full;
    }
    return new Snapshot(
        machines(full.machines()),
        jobs(full.jobs()),
        expectedJobs(full),
        full.teams(),
        full.teamUse(),
        full.offers().stream().filter(offer -> takesWork(offer.zoneName())).toList(),
        full.pendingProvisions().stream()
            .filter(pendingProvisions -> isCounted(pendingProvisions.of().zoneName()))
            .toList(),
        full.startedLate(),
        full.settled(),
        full.idleS(),
        full.now());
  }

  private boolean takesWork(String zone) {
    return zones.state(zone).takesWork();
  }

  /** Whether machines of a zone count, if not now then as machines that are coming. */
  private boolean isCounted(String zone) {
    return zones.state(zone) != ZoneState.UNAVAILABLE;
  }

  private boolean takesStartsNow(String zone) {
    ZoneStatus status = zones.zones().get(zone);
    return status == null
        || status.state() == ZoneState.AVAILABLE
        || (status.state() == ZoneState.RECOVERING && status.startsLeft());
  }

  private List<Snapshot.MachineView> machines(List<Snapshot.MachineView> all) {
    List<Snapshot.MachineView> shown = new ArrayList<>(all.size());
    for (Snapshot.MachineView machine : all) {
      if (isCounted(machine.zoneName())) {
        boolean ready = !machine.ready() || takesStartsNow(machine.zoneName());
        shown.add(ready ? machine : machine.notReady());
      }
    }
    return shown;
  }

  private List<Snapshot.JobView> jobs(List<Snapshot.JobView> all) {
    if (zones.held().isEmpty()) {
      return all;
    }
    List<Snapshot.JobView> shown = new ArrayList<>(all.size());
    for (Snapshot.JobView job : all) {
      PSet<Integer> held = zones.held().get(job.spec().id());
      shown.add(held == null ? job : without(job, held));
    }
    return shown;
  }

  /**
   * Room is kept for held tasks, or provisioned, so that they find machines that are up when their
   * turn comes; otherwise each tier would wait once more for machines to boot.
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
        int zoneCount = job.zoneOpen().size();
        expectedJobs.add(
            Snapshot.JobView.expected(job.spec().withTasks(tasks), job.rank(), zoneCount));
      }
    }
    return expectedJobs;
  }

  /** A job without its held tasks; a gang starts whole or not at all. */
  private static Snapshot.JobView without(Snapshot.JobView job, PSet<Integer> held) {
    if (job.spec().isGang()) {
      return job.withTasks(job.pending(), job.waiting(), true);
    }
    IntList pending = new IntArrayList(job.pending().size());
    for (int i = 0; i < job.pending().size(); i++) {
      int task = job.pending().getInt(i);
      if (!held.contains(task)) {
        pending.add(task);
      }
    }
    int waiting = Math.max(pending.size(), job.waiting() - held.size());
    boolean nothingLeft = pending.isEmpty();
    return job.withTasks(pending, nothingLeft ? 0 : waiting, job.blocked() || nothingLeft);
  }
}
