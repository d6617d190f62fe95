package org.ternhinge.scaling;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.config.Settings;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.BootTimes;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.machine.ZoneMachineCounts;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.MachineType;

/**
 * Returns idle machines that are of no use: they never came up, went silent, don't get what they
 * are told, or fail their tasks. Such machines are charged until they are returned. Guarded by the
 * controller's lock.
 */
public final class UnusableMachineCheck {
  private static final Logger LOG = LoggerFactory.getLogger(UnusableMachineCheck.class);

  /** So many machines of a zone may be silent, each for a reason of its own, or such a share. */
  private static final int FEW_SILENT = 2;

  private static final double ZONE_SILENT_SHARE = 0.2;

  /**
   * Leases after its own has ended for which a machine is kept where a good part of its zone is
   * silent: then it is the network, and a return just before it is back would cost a boot and the
   * images of each machine.
   */
  private static final int ZONE_LEASES = 3;

  /**
   * A machine that the cloud's list says is up gets so many times its type's usual time to boot to
   * report to this leadership, and at least so much more: its way here may be cut.
   */
  private static final double UNHEARD_FACTOR = 3;

  private static final double UNHEARD_MARGIN_S = 45;

  /** Heartbeats that a worker may owe a new leader. */
  private static final int HEARTBEATS_AWAITED = 2;

  /** Leases for which a machine may go without getting what it is told. */
  private static final double UNREACHABLE_LEASES = 2;

  private final Settings settings;
  private final MachineRegistry machines;
  private final MachineTypeCatalog machineTypes;
  private final Ledger ledger;
  private final MachineReleaser releaser;
  private final BootTimes bootTimes;
  private final SteadyTime electedAt;

  public UnusableMachineCheck(
      Settings settings,
      MachineRegistry machines,
      MachineTypeCatalog machineTypes,
      Ledger ledger,
      MachineReleaser releaser,
      BootTimes bootTimes,
      SteadyTime electedAt) {
    this.settings = settings;
    this.machines = machines;
    this.machineTypes = machineTypes;
    this.ledger = ledger;
    this.releaser = releaser;
    this.bootTimes = bootTimes;
    this.electedAt = electedAt;
  }

  /** Returns what is of no use now. */
  public void check(SteadyTime now) {
    boolean[] mostlySilent = mostlySilentZones(now);
    for (Machine machine : List.copyOf(machines.all())) {
      MachineType type = machineTypes.find(machine.description().typeName());
      if (type == null
          || machine.cloud().isReleasing()
          || machine.cloud().isTerminated()
          || !ledger.attemptsOn(machine.id()).isEmpty()) {
        continue;
      }
      boolean zoneSilent =
          machine.description().zone() >= 0 && mostlySilent[machine.description().zone()];
      String fault = fault(machine, type, zoneSilent, now);
      if (fault != null) {
        LOG.info("scale in: releasing machine {}: {}", machine.id(), fault);
        releaser.release(machine);
      }
    }
  }

  /** For each zone, whether so many machines are silent that it must be the network. */
  private boolean[] mostlySilentZones(SteadyTime now) {
    List<ZoneMachineCounts.Count> machineCounts =
        ZoneMachineCounts.of(
            machines.all(),
            settings.zones().size(),
            machine -> machine.description().zone(),
            machine -> machine.agent().isHeard() && !machine.cloud().isTerminated(),
            machine -> machine.agent().isLeaseExpired(now));
    boolean[] mostlySilent = new boolean[machineCounts.size()];
    for (int zone = 0; zone < mostlySilent.length; zone++) {
      double most = Math.max(FEW_SILENT, machineCounts.get(zone).counted() * ZONE_SILENT_SHARE);
      mostlySilent[zone] = machineCounts.get(zone).marked() > most;
    }
    return mostlySilent;
  }

  /** Why a machine is of no use, or null. */
  private String fault(Machine machine, MachineType type, boolean zoneSilent, SteadyTime now) {
    if (neverCameUp(machine, type, now)) {
      return "never up";
    }
    double leaseS = settings.workers().leaseS();
    double silenceAllowedS = leaseS * (zoneSilent ? ZONE_LEASES : 1);
    if (machine.agent().isHeard()
        && machine.agent().leaseExpiry().plusSeconds(silenceAllowedS).isBefore(now)) {
      return "silent";
    }
    if (machine.health().reachability().unreachableFor(now) > UNREACHABLE_LEASES * leaseS) {
      return "unreachable by commands";
    }
    return machine.health().isQuarantined(now) ? "quarantined" : null;
  }

  /**
   * Whether a machine has not come up in the time that it may take. That counts from its provision
   * request, whichever leader provisioned it; but one that is up has to find a new leader first.
   */
  private boolean neverCameUp(Machine machine, MachineType type, SteadyTime now) {
    if (machine.agent().isHeard()) {
      return false;
    }
    if (machine.cloud().isListedRunning()) {
      double allowedS = Math.max(UNHEARD_FACTOR * type.bootS(), type.bootS() + UNHEARD_MARGIN_S);
      return now.secondsSince(machine.cloud().provisionedAt().max(electedAt)) > allowedS;
    }
    return now.secondsSince(electedAt)
            > HEARTBEATS_AWAITED * settings.workers().heartbeatIntervalS()
        && bootTimes.isGivenUp(machine, now);
  }
}
