package org.ternhinge.schedule;

import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.schedule.Snapshot.MachineView;
import org.ternhinge.schedule.Snapshot.Offer;
import org.ternhinge.schedule.Snapshot.PendingProvision;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Priority;

/** Provisions for what found no room, keeps room for what may come, returns what is idle. */
final class ScalingPlanner {
  /** An array this long in the queue is worth a machine of its own for each task. */
  private static final double ARRAY_TURN_S = 60;

  private final PlanBuilder builder;
  private final List<MachineCapacity> pendingMachines = new ArrayList<>();
  private final int[] provisioned;

  /** What the least task asks for; machines with less are full. */
  private final long leastCpus;

  private final Map<Alike, ArrayDeque<MachineCapacity>> roomKeepersByKind = new HashMap<>();

  ScalingPlanner(PlanBuilder builder) {
    this.builder = builder;
    this.provisioned = new int[builder.snapshot.offers().size()];
    long least = Long.MAX_VALUE;
    for (JobView job : builder.snapshot.jobs()) {
      least = Math.min(least, job.spec().need().cpus());
    }
    for (JobView job : builder.snapshot.expectedJobs()) {
      least = Math.min(least, job.spec().need().cpus());
    }
    this.leastCpus = least;
    for (MachineCapacity machine : builder.machines) {
      if (!machine.ready()) {
        pendingMachines.add(machine);
      }
    }
    // Without these each round until the cloud's answer would provision for the same need once
    // more.
    for (PendingProvision provisioned : builder.snapshot.pendingProvisions()) {
      for (int i = 0; i < provisioned.count(); i++) {
        pendingMachines.add(new MachineCapacity(provisioned.of()));
      }
    }
  }

  /**
   * Sends what waits to machines that are coming, then provisions for the rest.
   *
   * @param has the job's tasks by zone
   */
  void provisionFor(JobView job, int tasks, IntList has) {
    JobSpec spec = job.spec();
    int left = tasks;
    if (spec.kind() == JobKind.ARRAY) {
      left = (int) Math.ceil(tasks * Math.min(1, Math.max(1, spec.estimateS()) / ARRAY_TURN_S));
    }
    int[] zones = has.toIntArray();
    int full = 0;
    for (int i = 0; i < pendingMachines.size() && left > 0; i++) {
      if (pendingMachines.get(i).freeCpus() < leastCpus) {
        full++;
      } else {
        left -= fill(pendingMachines.get(i), spec, zones, left);
      }
    }
    if (full * 4 > pendingMachines.size()) {
      pendingMachines.removeIf(machine -> machine.freeCpus() < leastCpus);
    }
    while (left > 0) {
      MachineCapacity machine = provision(spec, zones, left);
      if (machine == null) {
        return;
      }
      pendingMachines.add(machine);
      left -= fill(machine, spec, zones, left);
    }
  }

  private int fill(MachineCapacity machine, JobSpec spec, int[] zones, int most) {
    builder.countEvaluation();
    int filled = 0;
    while (filled < most
        && machine.fits(spec)
        && machine.allows(spec)
        && PlanBuilder.zoneFits(spec, zones, machine.zone)) {
      machine.take(spec);
      zones[machine.zone]++;
      filled++;
    }
    return filled;
  }

  private MachineCapacity provision(JobSpec spec, int[] zones, int wanted) {
    List<Offer> offers = builder.snapshot.offers();
    int best = -1;
    double least = Double.MAX_VALUE;
    for (int i = 0; i < provisioned.length; i++) {
      Offer offer = offers.get(i);
      builder.countEvaluation();
      int fits = spec.need().timesIn(offer.machineType().capacity());
      if (fits == 0
          || !PlanBuilder.zoneFits(spec, zones, offer.zone())
          || provisioned[i] >= offer.most()) {
        continue;
      }
      MachineCapacity machine = new MachineCapacity(offer);
      if (!machine.allows(spec)
          || (spec.priority() != Priority.PRODUCTION
              && builder.accelerated.lost(spec, machine) > 0)) {
        continue;
      }
      double price = offer.machineType().price(offer.spot()) / Math.min(fits, Math.max(1, wanted));
      double waits = offer.bootS() + offer.machineType().fetchSeconds(spec.imageGb());
      double cost = price * (1 + waits / 120);
      if (cost < least) {
        least = cost;
        best = i;
      }
    }
    if (best < 0) {
      return null;
    }
    provisioned[best]++;
    return new MachineCapacity(offers.get(best));
  }

  /**
   * Keeps room for a job that may come, on what is there or coming, else provisions. Jobs alike
   * share what is left of the machines: each is looked at until it has no more room for them. At a
   * start from nothing a hundred expected jobs asked each machine twice in each round, which was
   * most of the leader's work.
   */
  void keepRoomFor(JobView expected) {
    JobSpec spec = expected.spec();
    int left = spec.tasks();
    ArrayDeque<MachineCapacity> roomKeepers =
        roomKeepersByKind.computeIfAbsent(Alike.of(spec), k -> roomKeepers());
    while (left > 0 && !roomKeepers.isEmpty()) {
      MachineCapacity machine = roomKeepers.peekFirst();
      builder.countEvaluation();
      if (machine.allows(spec) && builder.accelerated.lost(spec, machine) == 0) {
        Resources room = stoppable(machine, spec);
        while (left > 0 && spec.need().fitsIn(room)) {
          machine.take(spec);
          room = room.minus(spec.need());
          left--;
        }
      }
      if (left > 0) {
        roomKeepers.pollFirst();
      }
    }
    if (left > 0) {
      provisionFor(expected, left, expected.zoneOpen());
    }
  }

  /** What machines see of a job that only needs room kept. */
  private record Alike(
      Resources need, JobKind kind, Priority priority, boolean spot, String zone, List<String> on) {
    static Alike of(JobSpec spec) {
      return new Alike(
          spec.need(), spec.kind(), spec.priority(), spec.spotAllowed(), spec.zone(), spec.types());
    }
  }

  /** Machines that are busy first: those that idle may be returned. */
  private ArrayDeque<MachineCapacity> roomKeepers() {
    ArrayDeque<MachineCapacity> out = new ArrayDeque<>();
    List<MachineCapacity> idle = new ArrayList<>();
    for (MachineCapacity machine : builder.machines) {
      if (machine.view.attempts().isEmpty() && !machine.used()) {
        idle.add(machine);
      } else {
        out.add(machine);
      }
    }
    out.addAll(idle);
    return out;
  }

  /**
   * The room that a production job could get on a machine, others stopped. Added up in plain
   * numbers: it is asked for each task of each machine that keeps room.
   */
  private static Resources stoppable(MachineCapacity machine, JobSpec spec) {
    Resources free = machine.free();
    if (machine.lowestPriority() == null
        || machine.lowestPriority().compareTo(spec.priority()) <= 0) {
      return free;
    }
    long cpus = free.cpus();
    long gpus = free.gpus();
    long memory = free.memory();
    for (AttemptView attempt : machine.view.attempts()) {
      JobSpec running = attempt.spec();
      if (running.priority().compareTo(spec.priority()) > 0 && running.kind() != JobKind.GANG) {
        cpus += running.need().cpus();
        gpus += running.need().gpus();
        memory += running.need().memory();
      }
    }
    return new Resources(cpus, gpus, memory);
  }

  /** Writes down what is to be provisioned and returned. */
  void finish() {
    for (int i = 0; i < provisioned.length; i++) {
      if (provisioned[i] > 0) {
        Offer offer = builder.snapshot.offers().get(i);
        builder
            .plan
            .scaleOuts()
            .add(
                new Plan.ScaleOut(
                    offer.machineType().name(), offer.zoneName(), offer.spot(), provisioned[i]));
      }
    }
    for (MachineCapacity machine : builder.machines) {
      MachineView view = machine.view;
      if (view.ready()
          && !machine.used()
          && view.attempts().isEmpty()
          && view.reservations().isEmpty()
          && builder.snapshot.now().secondsSince(view.idleSince()) > builder.snapshot.idleS()
          && builder.snapshot.now().secondsSince(view.provisionedAt()) > 60) {
        builder.plan.releases().add(view.id());
      }
    }
  }
}
