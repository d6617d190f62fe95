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
 * The state of machines and displaced tasks at one check. A machine is counted in its zone only
 * while the cloud is not about to take it away, since such a machine may fall silent:
 *
 * <pre>
 *                         heard in this leadership     not heard, but listed or with attempts
 * first heartbeat awaited expected                     unheard
 * first heartbeat overdue expected                     expected and impaired
 * </pre>
 *
 * <p>An expected machine is impaired, too, where its heartbeats are overdue or commands don't reach
 * it. Guarded by the controller's lock.
 */
final class FleetObservations implements ZoneFailover.Observations {
  /** Heartbeat intervals in which a worker may find a new leader. */
  private static final double FIRST_HEARTBEAT_INTERVALS = 4;

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
   * @param now when the check takes place
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
    double awaitedS = FIRST_HEARTBEAT_INTERVALS * settings.workers().heartbeatIntervalS();
    this.firstHeartbeatsOverdue = now.secondsSince(context.electedAt()) > awaitedS;
  }

  // ---- machines ---------------------------------------------------------------------------------

  @Override
  public List<ZoneObservation> zones() {
    List<ZoneMachineCounts.Count> expected = countByZone(this::isExpected, this::isImpaired);
    List<ZoneMachineCounts.Count> unheard = countByZone(this::isUnheard, this::isUnheard);
    List<ZoneObservation> zones = new ArrayList<>();
    for (int zone = 0; zone < expected.size(); zone++) {
      ZoneMachineCounts.Count count = expected.get(zone);
      zones.add(new ZoneObservation(count.counted(), count.marked(), unheard.get(zone).counted()));
    }
    return zones;
  }

  private List<ZoneMachineCounts.Count> countByZone(
      Predicate<Machine> isCounted, Predicate<Machine> isMarked) {
    return ZoneMachineCounts.of(
        machines.all(), settings.zones().size(), fleet::zoneIndex, isCounted, isMarked);
  }

  /** Whether heartbeats should come from a machine. */
  private boolean isExpected(Machine machine) {
    return machine.cloud().isStaying()
        && (machine.agent().isHeard() || (firstHeartbeatsOverdue && isInUse(machine)));
  }

  /** Whether a machine's worker seems to be up and has not found this leader yet. */
  private boolean isUnheard(Machine machine) {
    return machine.cloud().isStaying()
        && !machine.agent().isHeard()
        && !firstHeartbeatsOverdue
        && isInUse(machine);
  }

  private boolean isInUse(Machine machine) {
    return machine.cloud().isListedRunning() || !ledger.attemptsOn(machine.id()).isEmpty();
  }

  private boolean isImpaired(Machine machine) {
    return !machine.agent().isHeard()
        || machine.agent().isOverdue(settings.workers(), now)
        || machine.health().reachability().unreachable();
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
    if (job == null || FleetView.isOver(job) || job.isDone(task)) {
      return TaskState.ENDED;
    }
    return job.open(task) == null ? TaskState.PENDING : TaskState.PLACED;
  }

  @Override
  public boolean isPlaceable(JobId id) {
    Job job = ledger.job(id);
    return job != null && !job.hasUnmetDependencies() && !failures.jobBackoff().isBlocked(job, now);
  }
}
