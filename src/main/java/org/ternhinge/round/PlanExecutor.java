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
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.TaskId;
import org.ternhinge.scaling.MachineProvisioner;
import org.ternhinge.scaling.MachineReleaser;
import org.ternhinge.schedule.Plan;

/**
 * Carries out a plan as far as it still holds. The planner works on a snapshot without the lock, so
 * jobs and machines may have changed or gone since: each decision is checked again, and the
 * ledger's admission has the last word on each placement. Guarded by the controller's lock.
 */
public final class PlanExecutor {
  private static final Logger LOG = LoggerFactory.getLogger(PlanExecutor.class);

  /**
   * Seconds for which room is kept for a job after others were stopped for it: long enough for them
   * to save and go, short enough that room is not lost to a job that goes elsewhere.
   */
  private static final double RESERVATION_S = 12;

  /** Seconds beside the time to save, for the stop to arrive and the end to be reported. */
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

  public PlanExecutor(
      Clock clock,
      Ledger ledger,
      LedgerWriter writer,
      MachineRegistry machines,
      MachineTypeCatalog machineTypes,
      SnapshotBuilder snapshots,
      ReportedTasks reportedTasks,
      AttemptLifecycle attempts,
      MachineProvisioner provisioner,
      MachineReleaser releaser) {
    this.clock = clock;
    this.ledger = ledger;
    this.writer = writer;
    this.machines = machines;
    this.machineTypes = machineTypes;
    this.snapshots = snapshots;
    this.reportedTasks = reportedTasks;
    this.attempts = attempts;
    this.provisioner = provisioner;
    this.releaser = releaser;
  }

  /** Carries out what still holds; called under the lock while the leadership certainly holds. */
  void execute(Plan plan) {
    SteadyTime now = clock.now();
    for (Plan.Place place : plan.places()) {
      place(place, now);
    }
    for (Plan.Stop stop : plan.stops()) {
      makeRoom(stop, now);
    }
    writer.pump();
    for (Plan.ScaleOut provision : plan.scaleOuts()) {
      provisioner.provision(provision);
    }
    for (MachineId id : plan.releases()) {
      release(id);
    }
  }

  private void place(Plan.Place place, SteadyTime now) {
    Job job = ledger.job(place.job());
    if (job == null) {
      return;
    }
    List<Ledger.Placement> placements = withRoomInRecord(job, placements(place, job, now));
    Optional<AdmissionRefusal> refusal =
        placements.isEmpty()
            ? Optional.of(AdmissionRefusal.NOTHING_TO_PLACE)
            : ledger.open(job, placements, reportedTasks::isShown, now);
    if (refusal.isPresent()) {
      LOG.debug("{} not placed: {}", place.job(), refusal.get());
      return;
    }
    LOG.debug("{} {} goes to {}", place.job(), job.spec().jobClass(), place.machines());
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
  private List<Ledger.Placement> placements(Plan.Place place, Job job, SteadyTime now) {
    List<Ledger.Placement> placements = new ArrayList<>();
    for (int i = 0; i < place.tasks().size(); i++) {
      int index = place.tasks().get(i);
      Machine machine = machines.find(place.machines().get(i)).orElse(null);
      // One task that still shows somewhere must not keep the rest of its array waiting.
      boolean waits = !job.spec().isGang() && reportedTasks.isShown(new TaskId(place.job(), index));
      if (machine != null && !waits && snapshots.placeable(machine, now)) {
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

  /** A task of the job has been opened on the machine. */
  private void placed(Job job, Machine machine) {
    machine.invalidateView();
    // One task placed uses up one reservation.
    machine.dropReservation(job.spec().id());
    double cacheGb = machineTypes.typeOf(machine).orElseThrow().cacheGb();
    machine.useImage(job.spec().image(), job.spec().imageGb(), cacheGb);
  }

  /** Stops tasks of lesser urgency on a machine, and keeps their room for the job they made way. */
  private void makeRoom(Plan.Stop stop, SteadyTime now) {
    Machine machine = machines.find(stop.machine()).orElse(null);
    if (machine == null) {
      // Gone while the plan was made.
      return;
    }
    SteadyTime until = now.plusSeconds(RESERVATION_S);
    machine.reserve(new Machine.Reservation(stop.forJob(), stop.room(), until));
    for (Plan.Victim victim : stop.victims()) {
      preempt(victim, stop.forJob());
    }
  }

  private void preempt(Plan.Victim victim, JobId forJob) {
    Job job = ledger.job(victim.job());
    Attempt attempt = job == null ? null : job.open(victim.index());
    if (attempt == null) {
      return;
    }
    LOG.debug("preempting {} for {}", attempt.task(), forJob);
    boolean saves = job.spec().checkpointIntervalS() > 0;
    attempts.stopWithGang(attempt, saves ? job.spec().checkpointSaveS() + SAVE_MARGIN_S : 0);
    attempts.closeIfNeverSent(attempt);
  }

  private void release(MachineId id) {
    Machine machine = machines.find(id).orElse(null);
    if (machine != null && ledger.attemptsOn(id).isEmpty() && !machine.cloud().isReleasing()) {
      releaser.release(machine);
    }
  }
}
