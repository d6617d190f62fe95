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
 * Releases idle machines that cannot be used, for the reasons in {@link ReleaseReason}; they are
 * charged until they are released. Guarded by the controller's lock.
 */
public final class UnusableMachineCheck {
  private static final Logger LOG = LoggerFactory.getLogger(UnusableMachineCheck.class);

  /** Up to this many silent machines per zone are attributed to independent faults. */
  private static final int MAX_UNRELATED_SILENT = 2;

  /**
   * Like {@link #MAX_UNRELATED_SILENT}, as a share of the machines of the zone; the larger limit
   * applies.
   */
  private static final double MAX_UNRELATED_SILENT_SHARE = 0.2;

  /** Grace period of a silent machine after its lease has expired, in lease durations. */
  private static final int SILENCE_GRACE_LEASES = 1;

  /**
   * Like {@link #SILENCE_GRACE_LEASES}, in zones where more machines are silent. The likely cause
   * is the network; releasing the machines shortly before it recovers would cost each of them
   * another boot and image pull.
   */
  private static final int SILENT_ZONE_GRACE_LEASES = 3;

  /**
   * Time-out for the first heartbeat of a machine that is listed as running, as a multiple of the
   * nominal boot time of its type. It is generous because the network between the machine and the
   * leader may be partitioned.
   */
  private static final double FIRST_HEARTBEAT_FACTOR = 3;

  /** Minimum of this time-out in seconds, in addition to the nominal boot time. */
  private static final double FIRST_HEARTBEAT_MARGIN_S = 45;

  /** Heartbeat intervals during which workers may discover a new leader. */
  private static final int DISCOVERY_HEARTBEATS = 2;

  /** Lease durations for which a machine may be unreachable by commands. */
  private static final double MAX_UNREACHABLE_LEASES = 2;

  private final Settings settings;
  private final Ledger ledger;
  private final MonotonicTime electedAt;
  private final MachineRegistry machines;
  private final MachineTypeCatalog machineTypes;
  private final MachineReleaser releaser;
  private final BootTimes bootTimes;

  /** Creates a check of all machines in the registry. */
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

  /** Releases the idle machines that are currently unusable. */
  public void check(MonotonicTime now) {
    boolean[] silentZones = silentZones(now);
    for (Machine machine : List.copyOf(machines.all())) {
      if (isIdle(machine)) {
        releaseReason(machine, silentZones, now).ifPresent(reason -> release(machine, reason));
      }
    }
  }

  private void release(Machine machine, ReleaseReason reason) {
    LOG.info("scale in: releasing machine {}: {}", machine.id(), reason);
    releaser.release(machine);
  }

  /** Returns whether a machine has no attempts and is neither being released nor terminated. */
  private boolean isIdle(Machine machine) {
    return !machine.cloud().isReleasing()
        && !machine.cloud().isTerminated()
        && ledger.attemptsOn(machine.id()).isEmpty();
  }

  /**
   * Returns, by zone index, whether so many machines are silent that the network must be the cause.
   */
  private boolean[] silentZones(MonotonicTime now) {
    List<ZoneMachineCounts.Count> machineCounts =
        ZoneMachineCounts.of(
            machines.all(),
            settings.zones().size(),
            machine -> machine.description().zone(),
            machine -> machine.agent().hasReported() && !machine.cloud().isTerminated(),
            machine -> machine.agent().isLeaseExpired(now));
    boolean[] silent = new boolean[machineCounts.size()];
    for (int zone = 0; zone < silent.length; zone++) {
      ZoneMachineCounts.Count count = machineCounts.get(zone);
      double maxUnrelated =
          Math.max(MAX_UNRELATED_SILENT, count.total() * MAX_UNRELATED_SILENT_SHARE);
      silent[zone] = count.matching() > maxUnrelated;
    }
    return silent;
  }

  /** Returns why a machine is unusable; empty if it is usable or its type is unknown. */
  private Optional<ReleaseReason> releaseReason(
      Machine machine, boolean[] silentZones, MonotonicTime now) {
    Optional<MachineType> type = machineTypes.typeOf(machine);
    if (type.isEmpty()) {
      return Optional.empty();
    }
    if (hasBootTimedOut(machine, type.get(), now)) {
      return Optional.of(ReleaseReason.BOOT_TIMEOUT);
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
   * Returns whether a machine has not sent a heartbeat within its boot time-out. The time-out
   * starts with the provision request, whichever leader sent it, but a running machine also needs
   * time to discover a new leader.
   */
  private boolean hasBootTimedOut(Machine machine, MachineType type, MonotonicTime now) {
    if (machine.agent().hasReported()) {
      return false;
    }
    if (machine.cloud().isListedRunning()) {
      double allowedS =
          Math.max(FIRST_HEARTBEAT_FACTOR * type.bootS(), type.bootS() + FIRST_HEARTBEAT_MARGIN_S);
      return now.secondsSince(machine.cloud().provisionedAt().max(electedAt)) > allowedS;
    }
    return now.secondsSince(electedAt)
            > DISCOVERY_HEARTBEATS * settings.workers().heartbeatIntervalS()
        && bootTimes.hasBootTimedOut(machine, now);
  }

  private boolean isSilent(Machine machine, boolean[] silentZones, MonotonicTime now) {
    int zone = machine.description().zone();
    boolean inSilentZone = zone >= 0 && silentZones[zone];
    int leases = inSilentZone ? SILENT_ZONE_GRACE_LEASES : SILENCE_GRACE_LEASES;
    double allowedS = settings.workers().leaseS() * leases;
    return machine.agent().hasReported()
        && machine.agent().leaseExpiry().plusSeconds(allowedS).isBefore(now);
  }

  private boolean isUnreachable(Machine machine, MonotonicTime now) {
    return machine.health().reachability().unreachableForS(now)
        > MAX_UNREACHABLE_LEASES * settings.workers().leaseS();
  }
}
