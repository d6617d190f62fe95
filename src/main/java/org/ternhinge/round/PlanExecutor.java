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
 * Carries out a plan as far as it still holds. The planner works on a snapshot without the lock, so
 * jobs and machines may have changed or been removed since: each decision is checked again, and
 * each placement has to pass the ledger's admission. Guarded by the controller's lock.
 */
public final class PlanExecutor {
  private static final Logger LOG = LoggerFactory.getLogger(PlanExecutor.class);

  /**
   * Seconds for which room is reserved for a job after a preemption: long enough for the victims to
   * save and end, short enough that no room is wasted if the job is placed elsewhere.
   */
  private static final double RESERVATION_S = 12;

  /** Seconds besides the time to save, for the command to arrive and the end to be reported. */
  private static final double SAVE_MARGIN_S = 1;

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

  /** Carries out what still holds; called under the lock while the leadership certainly holds. */
  void execute(Plan plan) {
    MonotonicTime now = clock.now();
    for (Plan.Placement placement : plan.placements()) {
      place(placement, now);
    }
    for (Plan.Preemption preemption : plan.preemptions()) {
      preempt(preemption, now);
    }
    writer.pump();
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
    List<Ledger.Placement> placements = withRoomInRecord(job, placements(planned, job, now));
    Optional<AdmissionRefusal> refusal =
        placements.isEmpty()
            ? Optional.of(AdmissionRefusal.NOTHING_TO_PLACE)
            : ledger.open(job, placements, reportedTasks::isShown, now);
    if (refusal.isPresent()) {
      LOG.debug("{} not placed: {}", planned.job(), refusal.get());
      return;
    }
    LOG.debug("placed {} ({}) on {}", planned.job(), job.spec().jobClass(), planned.machines());
    for (Ledger.Placement placement : placements) {
      placed(job, machines.find(placement.site().machine()).orElseThrow());
    }
  }

  /** The placements that the job's record has room for; a gang's are admitted whole or not. */
  private List<Ledger.Placement> withRoomInRecord(Job job, List<Ledger.Placement> placements) {
    if (job.spec().isGang()) {
      return placements;
    }
    List<Ledger.Placement> fitting = ledger.fitting(job, placements);
    if (fitting.size() < placements.size()) {
      ledger.requestRoom(job);
    }
    return fitting;
  }

  /** The placements whose machine still takes tasks. */
  private List<Ledger.Placement> placements(Plan.Placement planned, Job job, MonotonicTime now) {
    List<Ledger.Placement> placements = new ArrayList<>();
    for (int i = 0; i < planned.tasks().size(); i++) {
      int index = planned.tasks().get(i);
      Machine machine = machines.find(planned.machines().get(i)).orElse(null);
      // A task that some machine still reports must not delay the rest of its array.
      boolean isReported =
          !job.spec().isGang() && reportedTasks.isShown(new TaskId(planned.job(), index));
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

  /** Updates a machine on which an attempt of the job has been opened. */
  private void placed(Job job, Machine machine) {
    machine.invalidateView();
    // Each placed task uses up one reservation.
    machine.dropReservation(job.spec().id());
    double cacheGb = machineTypes.typeOf(machine).orElseThrow().cacheGb();
    machine.useImage(job.spec().image(), job.spec().imageGb(), cacheGb);
  }

  // ---- preemptions and releases -----------------------------------------------------------------

  /** Stops tasks on a machine, and reserves their room for the job that they are stopped for. */
  private void preempt(Plan.Preemption preemption, MonotonicTime now) {
    Machine machine = machines.find(preemption.machine()).orElse(null);
    if (machine == null) {
      // It was removed after the snapshot.
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
    Attempt attempt = job == null ? null : job.open(victim.index());
    if (attempt == null) {
      return;
    }
    LOG.debug("preempting {} for {}", attempt.task(), forJob);
    boolean savesCheckpoint = job.spec().checkpointIntervalS() > 0;
    attempts.stopWithGang(
        attempt, savesCheckpoint ? job.spec().checkpointSaveS() + SAVE_MARGIN_S : 0);
    attempts.closeIfNeverSent(attempt);
  }

  private void release(MachineId id) {
    Machine machine = machines.find(id).orElse(null);
    if (machine != null && ledger.attemptsOn(id).isEmpty() && !machine.cloud().isReleasing()) {
      releaser.release(machine);
    }
  }
}
