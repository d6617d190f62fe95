package org.ternhinge.controller;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Team;
import org.ternhinge.config.Tuning;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.Flavor;
import org.ternhinge.wire.JobSpec;

/**
 * What the planner is shown. A machine's view is kept until something on the machine changes, so
 * that a round costs by what has changed since the last one and not by the size of the fleet.
 */
final class SnapshotCache {
  /** Tasks of one job that a round may start; more come with the next round. */
  private static final int MOST_PENDING = 400;

  /** Reports that a machine may owe and still be given tasks; one may be late or lost. */
  private static final double MAX_REPORTS_OWED = 2.2;

  /** Reports' time after the election by which every machine that is up has reported. */
  private static final int SETTLED_AFTER_REPORTS = 2;

  /** A machine without a report for so long is not counted on. */
  private static final double SILENT_S = 15;

  private final Settings settings;
  private final Tuning tuning;
  private final Authority authority;
  private final Clock clock;
  private final Ledger ledger;
  private final Map<String, Flavor> flavors;
  private final Map<JobId, JobFailures> jobFailures;
  private final MachineRegistry machines;
  private final ArrivalRates arrivalRates;
  private final Rentals rentals;
  private final SteadyTime electedAt;

  SnapshotCache(
      ControllerServices services,
      Authority authority,
      Ledger ledger,
      Map<String, Flavor> flavors,
      Map<JobId, JobFailures> jobFailures,
      MachineRegistry machines,
      ArrivalRates arrivalRates,
      Rentals rentals,
      SteadyTime electedAt) {
    this.settings = services.settings();
    this.tuning = services.tuning();
    this.clock = services.clock();
    this.authority = authority;
    this.ledger = ledger;
    this.flavors = flavors;
    this.jobFailures = jobFailures;
    this.machines = machines;
    this.arrivalRates = arrivalRates;
    this.rentals = rentals;
    this.electedAt = electedAt;
  }

  /**
   * Whether tasks may be placed on a machine now: it is up, takes commands of this term, and has
   * reported lately.
   */
  boolean placeable(Machine machine, SteadyTime now) {
    return machine.reported
        && !machine.gone
        && !machine.releasing
        && machine.noticeAt == null
        && machine.zone >= 0
        && machine.type != null
        && flavors.containsKey(machine.type)
        && machine.endpoint != null
        && machine.session.compareTo(machine.deadSession) > 0
        && !machine.sick(now)
        && !machine.commandReachability.commandsLost()
        && (machine.noRoomUntil == null || machine.noRoomUntil.isBefore(now))
        && machine.token.equals(authority.term())
        && now.secondsSince(machine.lastReport) < settings.workers().reportS() * MAX_REPORTS_OWED;
  }

  /** What the planner is shown as of now. */
  Snapshot snapshot(SteadyTime now) {
    List<Snapshot.MachineView> machineViews = new ArrayList<>(machines.all().size());
    Map<JobId, Integer> reservationsByJob = new HashMap<>();
    for (Machine machine : machines.all()) {
      boolean ready = placeable(machine, now);
      if (ready || mayBecomePlaceable(machine, now)) {
        machineViews.add(currentView(machine, ready));
        for (Machine.Reservation reservation : machine.reservations) {
          reservationsByJob.merge(reservation.job(), 1, Integer::sum);
        }
      }
    }
    Map<String, Resources> useByTeam = new HashMap<>();
    settings.teams().keySet().forEach(team -> useByTeam.put(team, ledger.teamUse(team)));
    return new Snapshot(
        machineViews,
        jobViews(now, reservationsByJob),
        arrivalRates.spares(now, settings.zones().size()),
        settings.teams(),
        useByTeam,
        rentals.offers(flavors.values(), now),
        rentals.coming(flavors),
        settled(now),
        tuning.idleS(),
        now);
  }

  /** Whether a machine that takes no tasks now is to be counted on as one that is coming. */
  private boolean mayBecomePlaceable(Machine machine, SteadyTime now) {
    boolean known = machine.type != null && flavors.containsKey(machine.type) && machine.zone >= 0;
    boolean leaving = machine.gone || machine.releasing || machine.noticeAt != null;
    if (!known || leaving || machine.sick(now)) {
      return false;
    }
    if (machine.commandReachability.commandsLost()) {
      // Not even as one that is coming, or nothing would be rented in its place.
      return false;
    }
    return !machine.reported || now.secondsSince(machine.lastReport) <= SILENT_S;
  }

  /** What the planner is shown of a machine, made anew only after a change. */
  private Snapshot.MachineView currentView(Machine machine, boolean ready) {
    if (machine.view == null || machine.view.ready() != ready) {
      machine.view = view(machine, flavors.get(machine.type), ready);
    }
    return machine.view;
  }

  /**
   * Whether what is ready is all that there is: every machine that is up has reported, or has had
   * time to. Before, work would be sent to places of last resort beside others not yet in sight.
   */
  private boolean settled(SteadyTime now) {
    if (now.secondsSince(electedAt) > SETTLED_AFTER_REPORTS * settings.workers().reportS()) {
      return true;
    }
    boolean listed = false;
    for (Machine machine : machines.all()) {
      listed |= machine.listedAt != null;
      boolean inUse = machine.listedUp || !ledger.attemptsOn(machine.id).isEmpty();
      if (!machine.reported && inUse) {
        return false;
      }
    }
    return listed;
  }

  private Snapshot.MachineView view(Machine machine, Flavor type, boolean ready) {
    List<Snapshot.AttemptView> attempts = new ArrayList<>();
    for (Attempt attempt : ledger.attemptsOn(machine.id)) {
      attempts.add(
          new Snapshot.AttemptView(
              attempt.job().planned(),
              attempt.task().index(),
              attempt.stopping(),
              attempt.runningSince()));
    }
    List<Snapshot.Reservation> reservations = new ArrayList<>();
    for (Machine.Reservation reservation : machine.reservations) {
      reservations.add(new Snapshot.Reservation(reservation.job(), reservation.room()));
    }
    return new Snapshot.MachineView(
        machine.id,
        type,
        machine.zone,
        machine.zoneName,
        machine.spot,
        type.capacity().minus(ledger.machineUse(machine.id)),
        ready,
        Set.copyOf(machine.images.keySet()),
        machine.idleSince,
        machine.rentedAt,
        attempts,
        reservations);
  }

  private List<Snapshot.JobView> jobViews(SteadyTime now, Map<JobId, Integer> reservationsByJob) {
    Map<String, Resources> askedByTeam = new HashMap<>();
    List<Snapshot.JobView> jobViews = new ArrayList<>();
    for (Job job : placeableJobs()) {
      JobSpec spec = job.planned();
      Team team = settings.teams().get(spec.team());
      if (team == null) {
        continue;
      }
      Resources asked =
          askedByTeam.merge(spec.team(), spec.need().times(spec.tasks()), Resources::plus);
      if (job.waitingCount() > 0) {
        int reserved = reservationsByJob.getOrDefault(spec.id(), 0);
        jobViews.add(jobView(job, withinGuarantee(team, asked), reserved, now));
      }
    }
    return jobViews;
  }

  /** Jobs that may have tasks running, in the order in which guarantees are given to them. */
  private List<Job> placeableJobs() {
    List<Job> jobs = new ArrayList<>();
    for (Job job : ledger.jobs()) {
      // A job that waits for others costs a look, and no part of its team's guarantee.
      if (!job.waits() && !job.cancelled() && !job.over()) {
        jobs.add(job);
      }
    }
    jobs.sort(Comparator.comparingLong(Job::readyMillis).thenComparing(job -> job.spec().id()));
    return jobs;
  }

  /** Whether so much use is guaranteed to a team; no accelerators guaranteed limits none. */
  private static boolean withinGuarantee(Team team, Resources asked) {
    return asked.cpus() <= team.cpus() && (team.gpus() == 0 || asked.gpus() <= team.gpus());
  }

  private Snapshot.JobView jobView(Job job, boolean guaranteed, int reserved, SteadyTime now) {
    JobSpec spec = job.planned();
    JobFailures failures = jobFailures.get(spec.id());
    boolean blocked = failures != null && failures.until != null && now.isBefore(failures.until);
    JobRanking.Progress progress = progress(job);
    return new Snapshot.JobView(
        spec,
        JobRanking.key(spec, progress),
        progress.waitedS(),
        guaranteed,
        progress.late(),
        pendingTasks(job),
        progress.waiting(),
        attemptsByZone(job),
        blocked,
        failures == null ? Set.of() : failures.avoid(now),
        reserved);
  }

  /** Tasks of a job that may start: of a gang all, of others as many as a round may start. */
  private static IntList pendingTasks(Job job) {
    IntList pending = new IntArrayList(Math.min(job.waitingCount(), MOST_PENDING));
    for (int index = job.nextWaiting(0); index >= 0; index = job.nextWaiting(index + 1)) {
      pending.add(index);
      if (pending.size() == MOST_PENDING && !job.planned().isGang()) {
        break;
      }
    }
    return pending;
  }

  private int[] attemptsByZone(Job job) {
    int[] attemptsByZone = new int[settings.zones().size()];
    for (Attempt attempt : job.openAttempts()) {
      if (attempt.zone() >= 0 && attempt.zone() < attemptsByZone.length) {
        attemptsByZone[attempt.zone()]++;
      }
    }
    return attemptsByZone;
  }

  private JobRanking.Progress progress(Job job) {
    double waitedS = Math.max(0, clock.wallMillis() - job.readyMillis()) / 1000.0;
    return new JobRanking.Progress(
        job.waitingCount(), job.doneCount(), job.openAttempts().size(), waitedS);
  }
}
