package org.ternhinge.scaling;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.attempt.ClosingEvidence;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineDescription;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.wire.ListedMachine;

/**
 * Reconciles the registry of machines with the cloud's listings: unexpected machines are added,
 * failed ones are released, and those that are missing for longer than a listing may lag are
 * removed. Guarded by the controller's lock.
 */
public final class MachineInventory {
  private static final Logger LOG = LoggerFactory.getLogger(MachineInventory.class);

  private final Settings settings;
  private final Tuning tuning;
  private final Clock clock;
  private final RoundTrigger rounds;
  private final MachineRegistry machines;
  private final MachineProvisioner provisioner;
  private final MachineReleaser releaser;
  private final MachineRemoval removal;
  private final ListedTermAnnouncer termAnnouncer;
  private final MachineListReader reader;

  /** Creates an inventory that has not started. */
  public MachineInventory(
      LeadershipContext context,
      MachineRegistry machines,
      MachineProvisioner provisioner,
      MachineReleaser releaser,
      MachineRemoval removal,
      ListedTermAnnouncer termAnnouncer) {
    this.settings = context.services().settings();
    this.tuning = context.services().tuning();
    this.clock = context.services().clock();
    this.rounds = context.rounds();
    this.machines = machines;
    this.provisioner = provisioner;
    this.releaser = releaser;
    this.removal = removal;
    this.termAnnouncer = termAnnouncer;
    this.reader =
        new MachineListReader(context, settings.cloudLimits().listLagS() / 2, this::reconcile);
  }

  /** Starts a listing now, and periodically from then on. */
  public void list() {
    reader.start();
  }

  private void reconcile(List<ListedMachine> listing, SteadyTime startedAt) {
    SteadyTime now = clock.now();
    Set<MachineId> listedIds = new HashSet<>();
    termAnnouncer.beginListing(now);
    for (ListedMachine listed : listing) {
      listedIds.add(listed.machine());
      if (!machines.wasRemoved(listed.machine())) {
        reconcile(listed, now);
      }
    }
    removeMissing(listedIds, startedAt);
    // Removed machines that the lagging list still shows complete their provision requests, too.
    listedIds.forEach(provisioner::seen);
    rounds.requestRound();
  }

  private void reconcile(ListedMachine listed, SteadyTime now) {
    Machine machine = machines.findOrAdd(listed.machine(), now);
    describe(machine, listed, now);
    termAnnouncer.announceIfDue(machine, listed);
    machine.cloud().listed(now, listed.state() == ListedMachine.State.RUNNING);
    provisioner.seen(machine.id());
    if (listed.state() == ListedMachine.State.FAILED && !machine.cloud().isTerminated()) {
      terminateFailed(machine);
    }
  }

  private void describe(Machine machine, ListedMachine listed, SteadyTime now) {
    if (!machine.description().isKnown()) {
      machine.describe(
          MachineDescription.of(listed.type(), listed.zone(), listed.spot(), settings.zones()));
    }
    SteadyTime provisionedAt = now.plusSeconds(-listed.ageS());
    if (provisionedAt.isBefore(machine.cloud().provisionedAt())) {
      // The listing lags, so the machine is at least as old as listed.
      machine.provisionedAt(provisionedAt);
    }
  }

  private void terminateFailed(Machine machine) {
    LOG.info("machine {} terminated: listed as failed", machine.id());
    removal.lost(machine, ClosingEvidence.MACHINE_FAILED);
    if (!machine.cloud().isReleasing()) {
      releaser.release(machine);
    }
  }

  /**
   * Removes machines that are gone. A machine is listed as long as it exists, and no listing is
   * older than twice the lag. So a machine that existed earlier than that before the listing
   * started, and is missing from it, is gone. A machine is known to have existed when a listing
   * last showed it or, if none has, when it became known in this leadership: by a heartbeat, by the
   * answer to a provision request or by a recovered attempt.
   */
  private void removeMissing(Set<MachineId> listedIds, SteadyTime startedAt) {
    double maxListingAgeS =
        2 * settings.cloudLimits().listLagS() * (1 + Settings.MAX_CLOCK_DRIFT) + tuning.marginS();
    for (Machine machine : List.copyOf(machines.all())) {
      double unlistedS = startedAt.secondsSince(machine.cloud().lastKnownAt());
      if (!listedIds.contains(machine.id()) && unlistedS > maxListingAgeS) {
        LOG.info("machine {} terminated: no longer listed", machine.id());
        removal.lost(machine, ClosingEvidence.MACHINE_NOT_LISTED);
        removal.remove(machine);
      }
    }
  }
}
