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
  /** Estimated duration of array tasks, in seconds, from which all of them get room at once. */
  private static final double FULL_PARALLELISM_TASK_S = 60;

  /** Waiting time until a machine is usable that doubles the cost of its offer, in seconds. */
  private static final double COST_DOUBLING_WAIT_S = 120;

  /** Minimum time between provisioning and release of a machine, in seconds. */
  private static final double MIN_LIFETIME_S = 60;

  private static final int NO_OFFER = -1;

  private final PlanBuilder builder;

  /** Machines that are not ready yet, including those that this plan provisions. */
  private final MachinesWithRoom pendingMachines;

  /** Number of machines of each offer that this plan provisions. */
  private final int[] provisionedCounts;

  /** Machines that may still have room for expected jobs, by shape. */
  private final Map<TaskShape, ArrayDeque<MachineCapacity>> roomByShape = new HashMap<>();

  ScalingPlanner(PlanBuilder builder) {
    this.builder = builder;
    Snapshot snapshot = builder.snapshot();
    this.provisionedCounts = new int[snapshot.offers().size()];
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
    // Counts unanswered requests too; otherwise each round would provision for the same demand
    // again until the cloud has answered.
    for (PendingProvision pending : snapshot.pendingProvisions()) {
      for (int i = 0; i < pending.count(); i++) {
        pendingMachines.add(new MachineCapacity(pending.offer()));
      }
    }
  }

  // ---- pending jobs -----------------------------------------------------------------------------

  /**
   * Assigns tasks without room to machines that are not ready yet, then provisions machines for the
   * rest.
   *
   * @param tasks number of tasks without room
   * @param tasksByZone number of the job's tasks that have room in each zone
   */
  void provisionFor(JobView job, int tasks, IntList tasksByZone) {
    JobSpec spec = job.spec();
    int[] zones = tasksByZone.toIntArray();
    int remaining = assignToPending(spec, zones, tasksToProvisionFor(spec, tasks));
    while (remaining > 0) {
      int offer = cheapestOffer(spec, zones, remaining);
      if (offer == NO_OFFER) {
        return;
      }
      provisionedCounts[offer]++;
      MachineCapacity machine = new MachineCapacity(builder.snapshot().offers().get(offer));
      pendingMachines.add(machine);
      remaining -= assignTo(machine, spec, zones, remaining);
    }
  }

  /** How many tasks to provision for; short array tasks share machines one after another. */
  private static int tasksToProvisionFor(JobSpec spec, int tasks) {
    if (spec.kind() != JobKind.ARRAY) {
      return tasks;
    }
    return (int)
        Math.ceil(tasks * Math.min(1, Math.max(1, spec.estimateS()) / FULL_PARALLELISM_TASK_S));
  }

  /** Assigns tasks to machines that are not ready yet, and returns how many remain. */
  private int assignToPending(JobSpec spec, int[] zones, int tasks) {
    int remaining = tasks;
    int full = 0;
    for (int i = 0; i < pendingMachines.size() && remaining > 0; i++) {
      MachineCapacity machine = pendingMachines.get(i);
      if (pendingMachines.isFull(machine)) {
        full++;
      } else {
        remaining -= assignTo(machine, spec, zones, remaining);
      }
    }
    pendingMachines.removeFullIfMany(full);
    return remaining;
  }

  /** Assigns as many tasks to a machine as fit, and returns how many. */
  private int assignTo(MachineCapacity machine, JobSpec spec, int[] zones, int maxTasks) {
    builder.countEvaluation();
    int assigned = 0;
    while (assigned < maxTasks
        && machine.fits(spec)
        && machine.allows(spec)
        && PlanBuilder.zoneAllows(spec, zones, machine.zone())) {
      machine.place(spec);
      zones[machine.zone()]++;
      assigned++;
    }
    return assigned;
  }

  /** The index of the offer with the lowest cost for each task, or {@link #NO_OFFER}. */
  private int cheapestOffer(JobSpec spec, int[] zones, int wanted) {
    List<Offer> offers = builder.snapshot().offers();
    int cheapest = NO_OFFER;
    double lowestCost = Double.MAX_VALUE;
    for (int i = 0; i < provisionedCounts.length; i++) {
      Offer offer = offers.get(i);
      builder.countEvaluation();
      int tasksPerMachine = spec.taskResources().countFittingIn(offer.machineType().capacity());
      if (tasksPerMachine > 0
          && PlanBuilder.zoneAllows(spec, zones, offer.zone())
          && provisionedCounts[i] < offer.maxCount()
          && isSuitable(spec, offer)) {
        double cost = costPerTask(spec, offer, Math.min(tasksPerMachine, Math.max(1, wanted)));
        if (cost < lowestCost) {
          lowestCost = cost;
          cheapest = i;
        }
      }
    }
    return cheapest;
  }

  private boolean isSuitable(JobSpec spec, Offer offer) {
    MachineCapacity machine = new MachineCapacity(offer);
    return machine.allows(spec)
        && (spec.priority() == Priority.PRODUCTION
            || builder.acceleratorSlots().lostSlots(spec, machine) <= 0);
  }

  /** The machine's price for each task that shares it, raised with the time until it is usable. */
  private static double costPerTask(JobSpec spec, Offer offer, int tasks) {
    double price = offer.machineType().price(offer.spot()) / tasks;
    double waitS = offer.bootS() + offer.machineType().fetchSeconds(spec.imageGb());
    return price * (1 + waitS / COST_DOUBLING_WAIT_S);
  }

  // ---- expected jobs ----------------------------------------------------------------------------

  /**
   * Reserves room for an expected job on existing machines, and provisions machines for the rest.
   * Jobs of the same shape share a queue of machines, and a machine is removed from it once it has
   * no more room for them. When each of a hundred expected jobs evaluated every machine twice in
   * every round, that was most of the leader's work while a cluster started up.
   */
  void reserveForExpected(JobView expected) {
    JobSpec spec = expected.spec();
    int remaining = spec.tasks();
    TaskShape shape =
        new TaskShape(spec.taskResources(), PlacementConstraints.ofSingleMachine(spec));
    ArrayDeque<MachineCapacity> machines =
        roomByShape.computeIfAbsent(shape, key -> busyMachinesFirst());
    while (remaining > 0 && !machines.isEmpty()) {
      remaining -= reserveOn(machines.peekFirst(), spec, remaining);
      if (remaining > 0) {
        machines.pollFirst();
      }
    }
    if (remaining > 0) {
      provisionFor(expected, remaining, expected.openByZone());
    }
  }

  /** Reserves room for tasks on one machine, and returns for how many. */
  private int reserveOn(MachineCapacity machine, JobSpec spec, int maxTasks) {
    builder.countEvaluation();
    if (!machine.allows(spec) || builder.acceleratorSlots().lostSlots(spec, machine) != 0) {
      return 0;
    }
    int reserved = 0;
    Resources room = roomWithPreemption(machine, spec);
    while (reserved < maxTasks && spec.taskResources().fitsIn(room)) {
      machine.place(spec);
      room = room.minus(spec.taskResources());
      reserved++;
    }
    return reserved;
  }

  /** All machines, busy ones first, so that idle ones can be released. */
  private ArrayDeque<MachineCapacity> busyMachinesFirst() {
    ArrayDeque<MachineCapacity> machines = new ArrayDeque<>();
    List<MachineCapacity> idle = new ArrayList<>();
    for (MachineCapacity machine : builder.machines()) {
      if (machine.view().attempts().isEmpty() && !machine.usedByPlan()) {
        idle.add(machine);
      } else {
        machines.add(machine);
      }
    }
    machines.addAll(idle);
    return machines;
  }

  /** The room for a job if all tasks of lower priority except gangs were preempted. */
  private static Resources roomWithPreemption(MachineCapacity machine, JobSpec spec) {
    Resources free = machine.free();
    if (machine.lowestPriority() == null
        || machine.lowestPriority().compareTo(spec.priority()) <= 0) {
      return free;
    }
    // Sums primitives to avoid allocations, as this runs for each machine that is evaluated.
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
  void addToPlan() {
    List<Offer> offers = builder.snapshot().offers();
    for (int i = 0; i < provisionedCounts.length; i++) {
      if (provisionedCounts[i] > 0) {
        builder.scaleOut(offers.get(i), provisionedCounts[i]);
      }
    }
    for (MachineCapacity machine : builder.machines()) {
      if (!machine.usedByPlan() && isReleasable(machine.view())) {
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
