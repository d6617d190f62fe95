package org.ternhinge.round;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.attempt.AttemptLifecycle;
import org.ternhinge.ledger.AdmissionRefusal;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.ledger.MachineAttributes;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.machine.ReportedTasks;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.TaskId;
import org.ternhinge.scaling.MachineProvisioner;
import org.ternhinge.scaling.MachineReleaser;
import org.ternhinge.schedule.Plan;
import org.ternhinge.term.LeadershipContext;

/**
 * Executes the decisions of a plan that are still valid. The planner works on a snapshot without
 * the lock, so jobs and machines may have changed or been removed in the meantime. Each decision is
 * therefore checked again, and each placement has to pass the ledger's admission check. Guarded by
 * the controller's lock.
 */
public final class PlanExecutor {
  private static final Logger LOG = LoggerFactory.getLogger(PlanExecutor.class);

  /**
   * Lifetime of a reservation after a preemption, in seconds: long enough for the preempted tasks
   * to save a checkpoint and end, and short enough to waste little room if the job is placed
   * elsewhere.
   */
  private static final double RESERVATION_S = 12;

  /** Seconds, besides the time to save, for the command to arrive and the end to be reported. */
  private static final double CHECKPOINT_MARGIN_S = 1;

  private final Clock clock;
  private final Ledger ledger;
  private final LedgerWriter writer;
  private final MachineRegistry machines;
  private final MachineTypeCatalog machineTypes;
  private final SnapshotBuilder snapshots;
  private final ReportedTasks reportedTasks;
  private final AttemptLifecycle attempts;
  private final MachineProvisioner provisioner;
  private final MachineReleaser releaser;

  /** Creates the executor of one leadership. */
  public PlanExecutor(
      LeadershipContext context,
      FleetState fleet,
      SnapshotBuilder snapshots,
      AttemptLifecycle attempts,
      MachineProvisioner provisioner,
      MachineReleaser releaser) {
    this.clock = context.services().clock();
    this.ledger = context.ledger();
    this.writer = context.writer();
    this.machines = fleet.machines();
    this.machineTypes = fleet.machineTypes();
    this.reportedTasks = fleet.reportedTasks();
    this.snapshots = snapshots;
    this.attempts = attempts;
    this.provisioner = provisioner;
    this.releaser = releaser;
  }

  /** Executes a plan; the caller holds the lock and has checked that the leadership is valid. */
  void execute(Plan plan) {
    MonotonicTime now = clock.now();
    for (Plan.Placement placement : plan.placements()) {
      place(placement, now);
    }
    for (Plan.Preemption preemption : plan.preemptions()) {
      preempt(preemption, now);
    }
    writer.sendNext();
    for (Plan.ScaleOut scaleOut : plan.scaleOuts()) {
      provisioner.provision(scaleOut);
    }
    for (MachineId id : plan.releases()) {
      release(id);
    }
  }

  // ---- placements -------------------------------------------------------------------------------

  private void place(Plan.Placement planned, MonotonicTime now) {
    Job job = ledger.job(planned.job());
    if (job == null) {
      return;
    }
    List<Ledger.Placement> placements = limitToRecordSize(job, validPlacements(planned, job, now));
    Optional<AdmissionRefusal> refusal =
        placements.isEmpty()
            ? Optional.of(AdmissionRefusal.NOTHING_TO_PLACE)
            : ledger.open(job, placements, reportedTasks::isReported, now);
    if (refusal.isPresent()) {
      LOG.debug("{} not placed: {}", planned.job(), refusal.get());
      return;
    }
    LOG.debug("placed {} ({}) on {}", planned.job(), job.spec().jobClass(), planned.machines());
    for (Ledger.Placement placement : placements) {
      updateAfterPlacement(job, machines.find(placement.machine().id()).orElseThrow());
    }
  }

  /** The placements that fit into the job's record; those of a gang are admitted all or none. */
  private List<Ledger.Placement> limitToRecordSize(Job job, List<Ledger.Placement> placements) {
    if (job.spec().isGang()) {
      return placements;
    }
    List<Ledger.Placement> fitting = ledger.filterFitting(job, placements);
    if (fitting.size() < placements.size()) {
      ledger.requestRecordSpace(job);
    }
    return fitting;
  }

  /** The placements whose machine still accepts tasks. */
  private List<Ledger.Placement> validPlacements(
      Plan.Placement planned, Job job, MonotonicTime now) {
    List<Ledger.Placement> placements = new ArrayList<>();
    for (int i = 0; i < planned.tasks().size(); i++) {
      int index = planned.tasks().get(i);
      Machine machine = machines.find(planned.machines().get(i)).orElse(null);
      // Skips a task that a machine still reports, so that it does not block the rest of its job.
      boolean isReported =
          !job.spec().isGang() && reportedTasks.isReported(new TaskId(planned.job(), index));
      if (machine != null && !isReported && snapshots.isPlaceable(machine, now)) {
        placements.add(new Ledger.Placement(index, attributes(machine)));
      }
    }
    return placements;
  }

  private MachineAttributes attributes(Machine machine) {
    return new MachineAttributes(
        machine.id(),
        machine.agent().epoch(),
        machine.description().typeName(),
        machine.description().zone(),
        machine.description().zoneName(),
        machine.description().spot(),
        machineTypes.typeOf(machine).orElseThrow().capacity());
  }

  /** Updates the state of a machine after an attempt of the job has been opened on it. */
  private void updateAfterPlacement(Job job, Machine machine) {
    machine.invalidateView();
    // Each placed task consumes one reservation.
    machine.removeReservation(job.spec().id());
    double cacheGb = machineTypes.typeOf(machine).orElseThrow().cacheGb();
    machine.recordImageUse(job.spec().image(), job.spec().imageGb(), cacheGb);
  }

  // ---- preemptions and releases -----------------------------------------------------------------

  /** Stops tasks on a machine and reserves their room for the preempting job. */
  private void preempt(Plan.Preemption preemption, MonotonicTime now) {
    Machine machine = machines.find(preemption.machine()).orElse(null);
    if (machine == null) {
      // The machine was removed after the snapshot was taken.
      return;
    }
    MonotonicTime until = now.plusSeconds(RESERVATION_S);
    machine.reserve(new Machine.Reservation(preemption.forJob(), preemption.room(), until));
    for (Plan.Victim victim : preemption.victims()) {
      stop(victim, preemption.forJob());
    }
  }

  private void stop(Plan.Victim victim, JobId forJob) {
    Job job = ledger.job(victim.job());
    Attempt attempt = job == null ? null : job.openAttempt(victim.index());
    if (attempt == null) {
      return;
    }
    LOG.debug("preempting {} for {}", attempt.task(), forJob);
    boolean savesCheckpoint = job.spec().checkpointIntervalS() > 0;
    attempts.stopWithGang(
        attempt, savesCheckpoint ? job.spec().checkpointSaveS() + CHECKPOINT_MARGIN_S : 0);
    attempts.closeIfNeverSent(attempt);
  }

  private void release(MachineId id) {
    Machine machine = machines.find(id).orElse(null);
    if (machine != null && ledger.attemptsOn(id).isEmpty() && !machine.cloud().isReleasing()) {
      releaser.release(machine);
    }
  }
}
