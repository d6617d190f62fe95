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

/** Plans scale-out for pending and expected jobs, and the release of idle machines. */
final class ScalingPlanner {
  /** Estimated seconds of an array's task that are worth a machine of its own for each task. */
  private static final double ARRAY_TURN_S = 60;

  /** Seconds until a machine is usable that weigh as much as its price. */
  private static final double WAIT_WORTH_PRICE_S = 120;

  /** Seconds after its provisioning during which a machine is not released. */
  private static final double MIN_LIFETIME_S = 60;

  private static final int NO_OFFER = -1;

  private final PlanBuilder builder;

  /** Machines that are expected to come up, those of this plan included. */
  private final MachinesWithRoom pendingMachines;

  /** How many machines of each offer this plan provisions. */
  private final int[] provisioned;

  /** Machines that may still have room for expected jobs of a shape. */
  private final Map<TaskShape, ArrayDeque<MachineCapacity>> roomByShape = new HashMap<>();

  ScalingPlanner(PlanBuilder builder) {
    this.builder = builder;
    Snapshot snapshot = builder.snapshot();
    this.provisioned = new int[snapshot.offers().size()];
    this.pendingMachines =
        new MachinesWithRoom(
            Math.min(
                PlanBuilder.smallestRequestCpus(snapshot.jobs()),
                PlanBuilder.smallestRequestCpus(snapshot.expectedJobs())));
    for (MachineCapacity machine : builder.machines()) {
      if (!machine.ready()) {
        pendingMachines.add(machine);
      }
    }
    // Otherwise each round until the cloud's answer would provision for the same demand again.
    for (PendingProvision pending : snapshot.pendingProvisions()) {
      for (int i = 0; i < pending.count(); i++) {
        pendingMachines.add(new MachineCapacity(pending.offer()));
      }
    }
  }

  // ---- pending jobs -----------------------------------------------------------------------------

  /**
   * Assigns tasks without room to machines that are expected to come up, then provisions for the
   * rest.
   *
   * @param tasksByZone tasks of the job that have room in each zone
   */
  void provisionFor(JobView job, int tasks, IntList tasksByZone) {
    JobSpec spec = job.spec();
    int[] zones = tasksByZone.toIntArray();
    int left = assignToPending(spec, zones, placesWorthProvisioning(spec, tasks));
    while (left > 0) {
      int offer = cheapestOffer(spec, zones, left);
      if (offer == NO_OFFER) {
        return;
      }
      provisioned[offer]++;
      MachineCapacity machine = new MachineCapacity(builder.snapshot().offers().get(offer));
      pendingMachines.add(machine);
      left -= fill(machine, spec, zones, left);
    }
  }

  /** How many tasks to provision for at once: short tasks of an array take turns. */
  private static int placesWorthProvisioning(JobSpec spec, int tasks) {
    if (spec.kind() != JobKind.ARRAY) {
      return tasks;
    }
    return (int) Math.ceil(tasks * Math.min(1, Math.max(1, spec.estimateS()) / ARRAY_TURN_S));
  }

  /** Fills machines that are expected to come up, and returns how many tasks are left. */
  private int assignToPending(JobSpec spec, int[] zones, int tasks) {
    int left = tasks;
    int full = 0;
    for (int i = 0; i < pendingMachines.size() && left > 0; i++) {
      MachineCapacity machine = pendingMachines.get(i);
      if (pendingMachines.isFull(machine)) {
        full++;
      } else {
        left -= fill(machine, spec, zones, left);
      }
    }
    pendingMachines.removeFullIfMany(full);
    return left;
  }

  /** Places as many tasks on a machine as fit, and returns how many. */
  private int fill(MachineCapacity machine, JobSpec spec, int[] zones, int most) {
    builder.countEvaluation();
    int filled = 0;
    while (filled < most
        && machine.fits(spec)
        && machine.allows(spec)
        && PlanBuilder.zoneAllows(spec, zones, machine.zone())) {
      machine.place(spec);
      zones[machine.zone()]++;
      filled++;
    }
    return filled;
  }

  /** The index of the offer with the lowest price a task, or {@link #NO_OFFER}. */
  private int cheapestOffer(JobSpec spec, int[] zones, int wanted) {
    List<Offer> offers = builder.snapshot().offers();
    int cheapest = NO_OFFER;
    double lowestCost = Double.MAX_VALUE;
    for (int i = 0; i < provisioned.length; i++) {
      Offer offer = offers.get(i);
      builder.countEvaluation();
      int fitting = spec.taskResources().countFittingIn(offer.machineType().capacity());
      if (fitting > 0
          && PlanBuilder.zoneAllows(spec, zones, offer.zone())
          && provisioned[i] < offer.maxCount()
          && suits(spec, offer)) {
        double cost = costOfTask(spec, offer, Math.min(fitting, Math.max(1, wanted)));
        if (cost < lowestCost) {
          lowestCost = cost;
          cheapest = i;
        }
      }
    }
    return cheapest;
  }

  private boolean suits(JobSpec spec, Offer offer) {
    MachineCapacity machine = new MachineCapacity(offer);
    return machine.allows(spec)
        && (spec.priority() == Priority.PRODUCTION
            || builder.acceleratorPlaces().lostPlaces(spec, machine) <= 0);
  }

  /** The price of one of the tasks that share a machine, raised by the time until it is usable. */
  private static double costOfTask(JobSpec spec, Offer offer, int tasks) {
    double price = offer.machineType().price(offer.spot()) / tasks;
    double waitS = offer.bootS() + offer.machineType().fetchSeconds(spec.imageGb());
    return price * (1 + waitS / WAIT_WORTH_PRICE_S);
  }

  // ---- expected jobs ----------------------------------------------------------------------------

  /**
   * Keeps room for an expected job on the machines that are there, else provisions. Jobs of one
   * shape share the machines: each machine is evaluated until it has no more room for them. At a
   * start from nothing, a hundred expected jobs that evaluated every machine twice in every round
   * were most of the leader's work.
   */
  void keepRoomFor(JobView expected) {
    JobSpec spec = expected.spec();
    int left = spec.tasks();
    TaskShape shape =
        new TaskShape(spec.taskResources(), PlacementConstraints.ofSingleMachine(spec));
    ArrayDeque<MachineCapacity> machines =
        roomByShape.computeIfAbsent(shape, key -> busyMachinesFirst());
    while (left > 0 && !machines.isEmpty()) {
      left -= keepRoomOn(machines.peekFirst(), spec, left);
      if (left > 0) {
        machines.pollFirst();
      }
    }
    if (left > 0) {
      provisionFor(expected, left, expected.openByZone());
    }
  }

  /** Keeps room for tasks on one machine, and returns for how many. */
  private int keepRoomOn(MachineCapacity machine, JobSpec spec, int most) {
    builder.countEvaluation();
    if (!machine.allows(spec) || builder.acceleratorPlaces().lostPlaces(spec, machine) != 0) {
      return 0;
    }
    int kept = 0;
    Resources room = roomWithPreemption(machine, spec);
    while (kept < most && spec.taskResources().fitsIn(room)) {
      machine.place(spec);
      room = room.minus(spec.taskResources());
      kept++;
    }
    return kept;
  }

  /** All machines, the busy ones first, as idle ones may be released. */
  private ArrayDeque<MachineCapacity> busyMachinesFirst() {
    ArrayDeque<MachineCapacity> machines = new ArrayDeque<>();
    List<MachineCapacity> idle = new ArrayList<>();
    for (MachineCapacity machine : builder.machines()) {
      if (machine.view().attempts().isEmpty() && !machine.used()) {
        idle.add(machine);
      } else {
        machines.add(machine);
      }
    }
    machines.addAll(idle);
    return machines;
  }

  /** The room that a job could get on a machine by preempting all lesser tasks but gangs. */
  private static Resources roomWithPreemption(MachineCapacity machine, JobSpec spec) {
    Resources free = machine.free();
    if (machine.lowestPriority() == null
        || machine.lowestPriority().compareTo(spec.priority()) <= 0) {
      return free;
    }
    // Added up in plain numbers, as this runs for each machine that keeps room.
    long cpus = free.cpus();
    long gpus = free.gpus();
    long memory = free.memory();
    for (AttemptView attempt : machine.view().attempts()) {
      JobSpec running = attempt.spec();
      if (running.priority().compareTo(spec.priority()) > 0 && running.kind() != JobKind.GANG) {
        cpus += running.taskResources().cpus();
        gpus += running.taskResources().gpus();
        memory += running.taskResources().memory();
      }
    }
    return new Resources(cpus, gpus, memory);
  }

  // ---- result -----------------------------------------------------------------------------------

  /** Adds the scale-outs and the releases to the plan. */
  void finish() {
    List<Offer> offers = builder.snapshot().offers();
    for (int i = 0; i < provisioned.length; i++) {
      if (provisioned[i] > 0) {
        builder.scaleOut(offers.get(i), provisioned[i]);
      }
    }
    for (MachineCapacity machine : builder.machines()) {
      if (!machine.used() && isReleasable(machine.view())) {
        builder.release(machine.view().id());
      }
    }
  }

  private boolean isReleasable(MachineView view) {
    Snapshot snapshot = builder.snapshot();
    return view.ready()
        && view.attempts().isEmpty()
        && view.reservations().isEmpty()
        && snapshot.now().secondsSince(view.idleSince()) > snapshot.maxIdleS()
        && snapshot.now().secondsSince(view.provisionedAt()) > MIN_LIFETIME_S;
  }
}
