package org.ternhinge.controller;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.HostInfo;

/**
 * Reads the cloud's list of machines again and again: machines nobody expected show in it, failed
 * ones are marked, and one that was listed and is missing for longer than the list may lag has been
 * taken. Guarded by the controller's lock.
 */
final class MachineInventory {
  private static final Logger LOG = LoggerFactory.getLogger(MachineInventory.class);

  /** Machines asked for in one request. */
  private static final int PAGE = 500;

  /** Seconds until a page that found the cloud's rate used up is asked for again. */
  private static final double HELD_BACK_S = 0.3;

  /**
   * Seconds after which a page that found the rate used up goes on a level with rentals. A list is
   * what shows machines that are gone and those that nobody expected, so a long row of rentals must
   * not keep it away.
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
  private final Rentals rentals;
  private final MachineReleases releases;
  private final MachineRemoval removal;
  private final CommandDispatcher dispatcher;
  private final TermAnnouncer termAnnouncer;
  private final RoundTrigger rounds;
  private final SteadyTime electedAt;

  /** Zones in which a worker was told of the term. */
  private final Set<Integer> zonesTold = new HashSet<>();

  /** The hosts of the reading under way, and when it began. */
  private final List<HostInfo> hosts = new ArrayList<>();

  private SteadyTime readingSince;

  /** Since when the next page is to be read. */
  private SteadyTime pageDueSince;

  MachineInventory(
      ControllerServices services,
      LeadershipExecutor executor,
      MachineRegistry machines,
      Rentals rentals,
      MachineReleases releases,
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
    this.rentals = rentals;
    this.releases = releases;
    this.removal = removal;
    this.dispatcher = dispatcher;
    this.termAnnouncer = termAnnouncer;
    this.rounds = rounds;
    this.electedAt = electedAt;
  }

  /** Reads the list, and goes on reading it. */
  void list() {
    hosts.clear();
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
  private void pageRead(MachineId after, Outcome<HostInfo.Page> outcome) {
    if (outcome != null && outcome.isBecause(Reason.HELD_BACK)) {
      executor.later(HELD_BACK_S, () -> readPage(after));
      return;
    }
    if (outcome instanceof Outcome.Applied<HostInfo.Page> applied) {
      HostInfo.Page page = applied.value();
      hosts.addAll(page.hosts());
      if (page.more() && !page.hosts().isEmpty()) {
        nextPage(page.hosts().get(page.hosts().size() - 1).machine());
        return;
      }
      listed();
    }
    executor.later(settings.cloudLimits().listLagS() / 2, this::list);
  }

  /** The whole list has been read. */
  private void listed() {
    SteadyTime now = clock.now();
    Set<MachineId> shown = new HashSet<>();
    int announcements = announcementsNow(now);
    for (HostInfo host : hosts) {
      shown.add(host.machine());
      if (machines.wasRemoved(host.machine())) {
        continue;
      }
      Machine machine = machines.findOrAdd(host.machine(), now);
      describe(machine, host, now);
      if (announceTerm(machine, host, announcements > 0)) {
        announcements--;
      }
      machine.listedAt = now;
      machine.listedUp = host.state() == HostInfo.State.RUNNING;
      rentals.seen(machine.id);
      if (host.state() == HostInfo.State.FAILED && !machine.gone) {
        failed(machine);
      }
    }
    removeMissing(shown);
    shown.forEach(rentals::seen);
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
  private boolean announceTerm(Machine machine, HostInfo host, boolean due) {
    boolean first = !zonesTold.contains(machine.zone);
    if (machine.termAnnounced || !(due || first) || !termAnnouncer.announce(machine, host)) {
      return false;
    }
    machine.termAnnounced = true;
    zonesTold.add(machine.zone);
    return true;
  }

  /**
   * How many workers may be told of the term now. Most find their way by themselves; those that
   * have not after a while are told, few at a time, since a new leader has better things to do than
   * to call hundreds of machines.
   */
  private int announcementsNow(SteadyTime now) {
    double awaitedS = HEARTBEATS_AWAITED * settings.workers().heartbeatIntervalS();
    return now.secondsSince(electedAt) < awaitedS ? 0 : dispatcher.spare() / ANNOUNCEMENT_SHARE;
  }

  private void describe(Machine machine, HostInfo host, SteadyTime now) {
    if (machine.type == null) {
      machine.type = host.type();
      machine.zoneName = host.zone();
      machine.zone = settings.zones().indexOf(host.zone());
      machine.spot = host.spot();
    }
    SteadyTime rentedAt = now.plusSeconds(-host.ageS());
    if (rentedAt.isBefore(machine.rentedAt)) {
      // The list lags, so it tells a machine's least age.
      machine.rentedAt = rentedAt;
      machine.view = null;
    }
  }

  private void failed(Machine machine) {
    LOG.info("machine {} has failed", machine.id);
    removal.lost(machine, "machine failed");
    if (!machine.releasing) {
      releases.release(machine);
    }
  }

  /**
   * Removes what is gone. A machine is listed until then, and no list is older than twice the lag:
   * one that was there earlier than that and is missing now is gone. It was there when a list
   * showed it; one that no list has shown was there when this leadership came to know of it, by a
   * report, by the answer to a rental or by an attempt on it.
   */
  private void removeMissing(Set<MachineId> shown) {
    double oldestListS =
        2 * settings.cloudLimits().listLagS() * (1 + Settings.DRIFT) + tuning.marginS();
    for (Machine machine : List.copyOf(machines.all())) {
      SteadyTime thereAt = machine.listedAt == null ? machine.knownSince : machine.listedAt;
      if (!shown.contains(machine.id) && readingSince.secondsSince(thereAt) > oldestListS) {
        LOG.info("machine {} is no longer listed", machine.id);
        removal.lost(machine, "machine taken");
        removal.remove(machine);
      }
    }
  }
}
