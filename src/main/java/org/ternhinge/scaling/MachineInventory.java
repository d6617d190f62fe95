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
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.wire.ListedMachine;

/**
 * Reconciles the machine registry with the cloud's listings: adds unexpected machines, releases
 * failed ones, and removes machines that have been missing for longer than a listing may lag.
 * Guarded by the controller's lock.
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

  /** Creates an inventory that does not list machines until it is started. */
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

  /** Starts a listing now and repeats it periodically. */
  public void start() {
    reader.start();
  }

  private void reconcile(List<ListedMachine> listing, MonotonicTime startedAt) {
    MonotonicTime now = clock.now();
    Set<MachineId> listedIds = new HashSet<>();
    termAnnouncer.beginListing(now);
    for (ListedMachine listed : listing) {
      listedIds.add(listed.machine());
      if (!machines.wasRemoved(listed.machine())) {
        reconcile(listed, now);
      }
    }
    removeMissing(listedIds, startedAt);
    // A removed machine that a stale listing still shows also counts towards its request.
    listedIds.forEach(provisioner::markSeen);
    rounds.requestRound();
  }

  private void reconcile(ListedMachine listed, MonotonicTime now) {
    Machine machine = machines.findOrAdd(listed.machine(), now);
    updateDescription(machine, listed, now);
    termAnnouncer.announceIfDue(machine, listed);
    machine.cloud().recordListing(now, listed.state() == ListedMachine.State.RUNNING);
    provisioner.markSeen(machine.id());
    if (listed.state() == ListedMachine.State.FAILED && !machine.cloud().isTerminated()) {
      terminateFailed(machine);
    }
  }

  private void updateDescription(Machine machine, ListedMachine listed, MonotonicTime now) {
    if (!machine.description().isKnown()) {
      machine.setDescription(
          MachineDescription.of(listed.type(), listed.zone(), listed.spot(), settings.zones()));
    }
    MonotonicTime provisionedAt = now.plusSeconds(-listed.ageS());
    if (provisionedAt.isBefore(machine.cloud().provisionedAt())) {
      // Listings lag, so the listed age is a lower bound.
      machine.setProvisionedAt(provisionedAt);
    }
  }

  private void terminateFailed(Machine machine) {
    LOG.info("machine {} terminated: listed as failed", machine.id());
    removal.terminate(machine, ClosingEvidence.MACHINE_FAILED);
    if (!machine.cloud().isReleasing()) {
      releaser.release(machine);
    }
  }

  /**
   * Removes machines that no longer exist. The cloud lists a machine for as long as it exists, and
   * the content of a listing is at most twice the lag old. A machine that is missing from a
   * listing, but was known to exist longer ago than that before the listing started, is therefore
   * gone. The last proof of existence is the last listing that contained the machine or, if there
   * is none, the time at which it was discovered in this leadership: by a heartbeat, by the answer
   * to a provision request or by a recovered attempt.
   */
  private void removeMissing(Set<MachineId> listedIds, MonotonicTime startedAt) {
    double maxListingAgeS =
        2 * settings.cloudLimits().listLagS() * (1 + Settings.MAX_CLOCK_DRIFT) + tuning.marginS();
    for (Machine machine : List.copyOf(machines.all())) {
      double unconfirmedS = startedAt.secondsSince(machine.cloud().lastConfirmedAt());
      if (!listedIds.contains(machine.id()) && unconfirmedS > maxListingAgeS) {
        LOG.info("machine {} terminated: no longer listed", machine.id());
        removal.terminate(machine, ClosingEvidence.MACHINE_NOT_LISTED);
        removal.remove(machine);
      }
    }
  }
}
