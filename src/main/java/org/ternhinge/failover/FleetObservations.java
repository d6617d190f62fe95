package org.ternhinge.failover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.ternhinge.config.Settings;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.machine.ZoneMachineCounts;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.TaskState;
import org.ternhinge.zone.ZoneFailover;
import org.ternhinge.zone.ZoneObservation;

/**
 * The state of machines and displaced tasks at one check. A machine that the cloud is about to
 * remove is not counted in its zone, since its heartbeats may stop at any time. Other machines are
 * counted as follows:
 *
 * <pre>
 *                         heard in this leadership     not heard, but listed or with attempts
 * first heartbeat awaited expected                     unreported
 * first heartbeat overdue expected                     expected and impaired
 * </pre>
 *
 * <p>An expected machine is also impaired if its heartbeats are overdue or commands do not reach
 * it. Guarded by the controller's lock.
 */
final class FleetObservations implements ZoneFailover.Observations {
  /** Number of heartbeat intervals within which a worker is expected to find a new leader. */
  private static final double FIRST_HEARTBEAT_TIMEOUT_INTERVALS = 4;

  private final Settings settings;
  private final Ledger ledger;
  private final MachineRegistry machines;
  private final TaskFailures failures;
  private final FleetView fleet;
  private final ToIntFunction<Job> tierOf;

  private final MonotonicTime now;
  private final boolean firstHeartbeatsOverdue;

  /**
   * Creates the observations of one check.
   *
   * @param tierOf the tier of a job in the order of failover
   * @param now time of the check
   */
  FleetObservations(
      LeadershipContext context,
      MachineRegistry machines,
      TaskFailures failures,
      FleetView fleet,
      ToIntFunction<Job> tierOf,
      MonotonicTime now) {
    this.settings = context.services().settings();
    this.ledger = context.ledger();
    this.machines = machines;
    this.failures = failures;
    this.fleet = fleet;
    this.tierOf = tierOf;
    this.now = now;
    double timeoutS = FIRST_HEARTBEAT_TIMEOUT_INTERVALS * settings.workers().heartbeatIntervalS();
    this.firstHeartbeatsOverdue = now.secondsSince(context.electedAt()) > timeoutS;
  }

  // ---- machines ---------------------------------------------------------------------------------

  @Override
  public List<ZoneObservation> zones() {
    List<ZoneMachineCounts.Count> expected = countByZone(this::isExpected, this::isImpaired);
    List<ZoneMachineCounts.Count> unreported = countByZone(this::isUnreported, this::isUnreported);
    List<ZoneObservation> zones = new ArrayList<>();
    for (int zone = 0; zone < expected.size(); zone++) {
      ZoneMachineCounts.Count count = expected.get(zone);
      zones.add(new ZoneObservation(count.total(), count.matching(), unreported.get(zone).total()));
    }
    return zones;
  }

  private List<ZoneMachineCounts.Count> countByZone(
      Predicate<Machine> isCounted, Predicate<Machine> isMarked) {
    return ZoneMachineCounts.of(
        machines.all(), settings.zones().size(), fleet::zoneIndex, isCounted, isMarked);
  }

  /** Whether a machine should be sending heartbeats. */
  private boolean isExpected(Machine machine) {
    return machine.cloud().isRetained()
        && (machine.agent().hasReported() || (firstHeartbeatsOverdue && isInUse(machine)));
  }

  /** Whether a machine's worker appears to be running but has not found this leader yet. */
  private boolean isUnreported(Machine machine) {
    return machine.cloud().isRetained()
        && !machine.agent().hasReported()
        && !firstHeartbeatsOverdue
        && isInUse(machine);
  }

  private boolean isInUse(Machine machine) {
    return machine.cloud().isListedRunning() || !ledger.attemptsOn(machine.id()).isEmpty();
  }

  private boolean isImpaired(Machine machine) {
    return !machine.agent().hasReported()
        || machine.agent().isOverdue(settings.workers(), now)
        || machine.health().reachability().isUnreachable();
  }

  @Override
  public Set<Integer> openTiers(String zone) {
    int index = settings.zones().indexOf(zone);
    Set<Integer> tiers = new HashSet<>();
    for (Machine machine : machines.all()) {
      if (fleet.zoneIndex(machine) == index && isImpaired(machine)) {
        for (Attempt attempt : ledger.attemptsOn(machine.id())) {
          tiers.add(tierOf.applyAsInt(attempt.job()));
        }
      }
    }
    return tiers;
  }

  // ---- displaced tasks --------------------------------------------------------------------------

  @Override
  public TaskState state(JobId id, int task) {
    Job job = ledger.job(id);
    if (job == null || FleetView.isFinished(job) || job.isDone(task)) {
      return TaskState.ENDED;
    }
    return job.openAttempt(task) == null ? TaskState.PENDING : TaskState.PLACED;
  }

  @Override
  public boolean isPlaceable(JobId id) {
    Job job = ledger.job(id);
    return job != null && !job.hasUnmetDependencies() && !failures.jobBackoff().isBlocked(job, now);
  }
}
