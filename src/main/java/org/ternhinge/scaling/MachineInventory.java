package org.ternhinge.scaling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.attempt.ClosingEvidence;
import org.ternhinge.attempt.CommandDispatcher;
import org.ternhinge.attempt.TermAnnouncer;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineDescription;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.wire.ListedMachine;

/**
 * Reads the cloud's list of machines again and again: machines nobody expected show in it, failed
 * ones are marked, and one that was listed and is missing for longer than the list may lag has been
 * taken. Guarded by the controller's lock.
 */
public final class MachineInventory {
  private static final Logger LOG = LoggerFactory.getLogger(MachineInventory.class);

  /** Machines asked for in one request. */
  private static final int PAGE = 500;

  /** Seconds until a page that found the cloud's rate used up is asked for again. */
  private static final double RATE_LIMIT_RETRY_S = 0.3;

  /**
   * Seconds after which a page that found the rate used up goes on a level with provision requests.
   * A list is what shows machines that are gone and those that nobody expected, so a long row of
   * provision requests must not keep it away.
   */
  private static final double PAGE_LATE_S = 2;

  /** Of the commands that may still go out, one in so many may tell workers of the term. */
  private static final int ANNOUNCEMENT_SHARE = 2;

  /** Heartbeats that a worker may owe a new leader before it is told of the term. */
  private static final int HEARTBEATS_AWAITED = 2;

  private final Settings settings;
  private final Tuning tuning;
  private final Cloud cloud;
  private final Clock clock;
  private final LeadershipExecutor executor;
  private final MachineRegistry machines;
  private final MachineProvisioner provisioner;
  private final MachineReleaser releaser;
  private final MachineRemoval removal;
  private final CommandDispatcher dispatcher;
  private final TermAnnouncer termAnnouncer;
  private final RoundTrigger rounds;
  private final SteadyTime electedAt;

  /** Zones in which a worker was told of the term. */
  private final Set<Integer> announcedZones = new HashSet<>();

  /** The hosts of the reading under way, and when it began. */
  private final List<ListedMachine> listedMachines = new ArrayList<>();

  private SteadyTime readingSince;

  /** Since when the next page is to be read. */
  private SteadyTime pageDueSince;

  public MachineInventory(
      ControllerServices services,
      LeadershipExecutor executor,
      MachineRegistry machines,
      MachineProvisioner provisioner,
      MachineReleaser releaser,
      MachineRemoval removal,
      CommandDispatcher dispatcher,
      TermAnnouncer termAnnouncer,
      RoundTrigger rounds,
      SteadyTime electedAt) {
    this.settings = services.settings();
    this.tuning = services.tuning();
    this.cloud = services.cloud();
    this.clock = services.clock();
    this.executor = executor;
    this.machines = machines;
    this.provisioner = provisioner;
    this.releaser = releaser;
    this.removal = removal;
    this.dispatcher = dispatcher;
    this.termAnnouncer = termAnnouncer;
    this.rounds = rounds;
    this.electedAt = electedAt;
  }

  /** Reads the list, and goes on reading it. */
  public void list() {
    listedMachines.clear();
    readingSince = clock.now();
    nextPage(null);
  }

  private void nextPage(MachineId after) {
    pageDueSince = clock.now();
    readPage(after);
  }

  private void readPage(MachineId after) {
    boolean late = clock.now().secondsSince(pageDueSince) > PAGE_LATE_S;
    RequestPriority priority = late ? RequestPriority.ATTEMPT : RequestPriority.QUERY;
    executor.whenAnswered(cloud.list(after, PAGE, priority), outcome -> pageRead(after, outcome));
  }

  /**
   * A page that was only held back is read as soon as the cloud's rate permits: with few calls a
   * second there never is a token for the second page at once, and a list begun anew each time
   * would never come to its end. After any other failure the list is read anew.
   */
  private void pageRead(MachineId after, Outcome<ListedMachine.Page> outcome) {
    if (outcome != null && outcome.isBecause(Reason.RATE_LIMITED)) {
      executor.later(RATE_LIMIT_RETRY_S, () -> readPage(after));
      return;
    }
    if (outcome instanceof Outcome.Applied<ListedMachine.Page> applied) {
      ListedMachine.Page page = applied.value();
      listedMachines.addAll(page.machines());
      if (page.more() && !page.machines().isEmpty()) {
        nextPage(page.machines().get(page.machines().size() - 1).machine());
        return;
      }
      listComplete();
    }
    executor.later(settings.cloudLimits().listLagS() / 2, this::list);
  }

  /** The whole list has been read. */
  private void listComplete() {
    SteadyTime now = clock.now();
    Set<MachineId> shown = new HashSet<>();
    int announcements = announcementsNow(now);
    for (ListedMachine listed : listedMachines) {
      shown.add(listed.machine());
      if (machines.wasRemoved(listed.machine())) {
        continue;
      }
      Machine machine = machines.findOrAdd(listed.machine(), now);
      describe(machine, listed, now);
      if (announceTerm(machine, listed, announcements > 0)) {
        announcements--;
      }
      machine.cloud().listed(now, listed.state() == ListedMachine.State.RUNNING);
      provisioner.seen(machine.id());
      if (listed.state() == ListedMachine.State.FAILED && !machine.cloud().isTerminated()) {
        failed(machine);
      }
    }
    removeMissing(shown);
    shown.forEach(provisioner::seen);
    rounds.requestRound();
  }

  /**
   * Tells a worker of the term, if that is due. One in each zone is told as soon as it is listed:
   * an earlier leader that can't renew its lease goes on answering reports for a while, and its
   * workers then stay with it. It steps down at the first heartbeat that shows this term.
   *
   * @param due whether workers may be told that have not found their way by themselves
   * @return whether it was told
   */
  private boolean announceTerm(Machine machine, ListedMachine listed, boolean due) {
    boolean first = !announcedZones.contains(machine.description().zone());
    if (machine.agent().isTermAnnounced()
        || !(due || first)
        || !termAnnouncer.announce(machine, listed)) {
      return false;
    }
    machine.agent().markTermAnnounced();
    announcedZones.add(machine.description().zone());
    return true;
  }

  /**
   * How many workers may be told of the term now. Most find their way by themselves; those that
   * have not after a while are told, few at a time, since a new leader has better things to do than
   * to call hundreds of machines.
   */
  private int announcementsNow(SteadyTime now) {
    double awaitedS = HEARTBEATS_AWAITED * settings.workers().heartbeatIntervalS();
    return now.secondsSince(electedAt) < awaitedS ? 0 : dispatcher.freeSlots() / ANNOUNCEMENT_SHARE;
  }

  private void describe(Machine machine, ListedMachine listed, SteadyTime now) {
    if (!machine.description().isKnown()) {
      machine.describe(
          MachineDescription.of(listed.type(), listed.zone(), listed.spot(), settings.zones()));
    }
    SteadyTime provisionedAt = now.plusSeconds(-listed.ageS());
    if (provisionedAt.isBefore(machine.cloud().provisionedAt())) {
      // The list lags, so it tells a machine's least age.
      machine.provisionedAt(provisionedAt);
    }
  }

  private void failed(Machine machine) {
    LOG.info("machine {} terminated: listed as failed", machine.id());
    removal.lost(machine, ClosingEvidence.MACHINE_FAILED);
    if (!machine.cloud().isReleasing()) {
      releaser.release(machine);
    }
  }

  /**
   * Removes what is gone. A machine is listed until then, and no list is older than twice the lag:
   * one that was there earlier than that and is missing now is gone. It was there when a list
   * showed it; one that no list has shown was there when this leadership came to know of it, by a
   * report, by the answer to a provision request or by an attempt on it.
   */
  private void removeMissing(Set<MachineId> shown) {
    double oldestListS =
        2 * settings.cloudLimits().listLagS() * (1 + Settings.DRIFT) + tuning.marginS();
    for (Machine machine : List.copyOf(machines.all())) {
      SteadyTime thereAt = machine.cloud().lastKnownAt();
      if (!shown.contains(machine.id()) && readingSince.secondsSince(thereAt) > oldestListS) {
        LOG.info("machine {} terminated: no longer listed", machine.id());
        removal.lost(machine, ClosingEvidence.MACHINE_NOT_LISTED);
        removal.remove(machine);
      }
    }
  }
}
