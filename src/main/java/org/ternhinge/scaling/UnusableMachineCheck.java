package org.ternhinge.scaling;

import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.config.Settings;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.BootTimes;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.machine.ZoneMachineCounts;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.MachineType;

/**
 * Releases idle machines that can't be used, for the reasons in {@link ReleaseReason}. Such
 * machines are charged until they are released. Guarded by the controller's lock.
 */
public final class UnusableMachineCheck {
  private static final Logger LOG = LoggerFactory.getLogger(UnusableMachineCheck.class);

  /** Up to this many machines of a zone may be silent for reasons of their own. */
  private static final int MAX_UNRELATED_SILENT = 2;

  /** The same as a share of the zone's machines; the larger of both limits counts. */
  private static final double MAX_UNRELATED_SILENT_SHARE = 0.2;

  /** Leases that a machine may stay silent after its own lease has expired. */
  private static final int SILENT_LEASES = 1;

  /**
   * The same where more machines of the zone are silent. The cause is the network then, and a
   * release shortly before the network is back would cost each machine's boot and images.
   */
  private static final int SILENT_LEASES_IN_SILENT_ZONE = 3;

  /**
   * Multiple of its type's nominal boot time that a machine which is listed as running has for its
   * first heartbeat in this leadership: the network between it and the leader may be cut.
   */
  private static final double FIRST_HEARTBEAT_FACTOR = 3;

  /** The machine has at least this many seconds beyond the nominal boot time. */
  private static final double FIRST_HEARTBEAT_MARGIN_S = 45;

  /** Heartbeat intervals in which workers can find a new leader. */
  private static final int HEARTBEATS_AWAITED = 2;

  /** Leases for which a machine may be unreachable by commands. */
  private static final double UNREACHABLE_LEASES = 2;

  private final Settings settings;
  private final Ledger ledger;
  private final MonotonicTime electedAt;
  private final MachineRegistry machines;
  private final MachineTypeCatalog machineTypes;
  private final MachineReleaser releaser;
  private final BootTimes bootTimes;

  /** Creates a check of all machines in a registry. */
  public UnusableMachineCheck(
      LeadershipContext context,
      MachineRegistry machines,
      MachineTypeCatalog machineTypes,
      MachineReleaser releaser,
      BootTimes bootTimes) {
    this.settings = context.services().settings();
    this.ledger = context.ledger();
    this.electedAt = context.electedAt();
    this.machines = machines;
    this.machineTypes = machineTypes;
    this.releaser = releaser;
    this.bootTimes = bootTimes;
  }

  /** Releases the idle machines that can't be used now. */
  public void check(MonotonicTime now) {
    boolean[] silentZones = silentZones(now);
    for (Machine machine : List.copyOf(machines.all())) {
      if (isIdle(machine)) {
        reasonToRelease(machine, silentZones, now).ifPresent(reason -> release(machine, reason));
      }
    }
  }

  private void release(Machine machine, ReleaseReason reason) {
    LOG.info("scale in: releasing machine {}: {}", machine.id(), reason);
    releaser.release(machine);
  }

  /** Whether a machine has no attempts and is not about to go for another reason. */
  private boolean isIdle(Machine machine) {
    return !machine.cloud().isReleasing()
        && !machine.cloud().isTerminated()
        && ledger.attemptsOn(machine.id()).isEmpty();
  }

  /** For each zone, whether so many machines are silent that the cause must be the network. */
  private boolean[] silentZones(MonotonicTime now) {
    List<ZoneMachineCounts.Count> machineCounts =
        ZoneMachineCounts.of(
            machines.all(),
            settings.zones().size(),
            machine -> machine.description().zone(),
            machine -> machine.agent().isHeard() && !machine.cloud().isTerminated(),
            machine -> machine.agent().isLeaseExpired(now));
    boolean[] silent = new boolean[machineCounts.size()];
    for (int zone = 0; zone < silent.length; zone++) {
      ZoneMachineCounts.Count count = machineCounts.get(zone);
      double maxUnrelated =
          Math.max(MAX_UNRELATED_SILENT, count.counted() * MAX_UNRELATED_SILENT_SHARE);
      silent[zone] = count.marked() > maxUnrelated;
    }
    return silent;
  }

  /** Why a machine can't be used; empty where it can, or where its type is not known. */
  private Optional<ReleaseReason> reasonToRelease(
      Machine machine, boolean[] silentZones, MonotonicTime now) {
    Optional<MachineType> type = machineTypes.typeOf(machine);
    if (type.isEmpty()) {
      return Optional.empty();
    }
    if (hasNeverComeUp(machine, type.get(), now)) {
      return Optional.of(ReleaseReason.NEVER_UP);
    }
    if (isSilent(machine, silentZones, now)) {
      return Optional.of(ReleaseReason.SILENT);
    }
    if (isUnreachable(machine, now)) {
      return Optional.of(ReleaseReason.UNREACHABLE);
    }
    return machine.health().isQuarantined(now)
        ? Optional.of(ReleaseReason.QUARANTINED)
        : Optional.empty();
  }

  /**
   * Whether a machine has not come up within the time allowed. The time counts from its provision
   * request, whichever leader made it; but a machine that is up has to find a new leader first.
   */
  private boolean hasNeverComeUp(Machine machine, MachineType type, MonotonicTime now) {
    if (machine.agent().isHeard()) {
      return false;
    }
    if (machine.cloud().isListedRunning()) {
      double allowedS =
          Math.max(FIRST_HEARTBEAT_FACTOR * type.bootS(), type.bootS() + FIRST_HEARTBEAT_MARGIN_S);
      return now.secondsSince(machine.cloud().provisionedAt().max(electedAt)) > allowedS;
    }
    return now.secondsSince(electedAt)
            > HEARTBEATS_AWAITED * settings.workers().heartbeatIntervalS()
        && bootTimes.isGivenUp(machine, now);
  }

  private boolean isSilent(Machine machine, boolean[] silentZones, MonotonicTime now) {
    int zone = machine.description().zone();
    boolean inSilentZone = zone >= 0 && silentZones[zone];
    int leases = inSilentZone ? SILENT_LEASES_IN_SILENT_ZONE : SILENT_LEASES;
    double allowedS = settings.workers().leaseS() * leases;
    return machine.agent().isHeard()
        && machine.agent().leaseExpiry().plusSeconds(allowedS).isBefore(now);
  }

  private boolean isUnreachable(Machine machine, MonotonicTime now) {
    return machine.health().reachability().unreachableFor(now)
        > UNREACHABLE_LEASES * settings.workers().leaseS();
  }
}
