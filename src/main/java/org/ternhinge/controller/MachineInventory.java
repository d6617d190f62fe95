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
import org.ternhinge.ledger.Authority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Session;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.HostInfo;
import org.ternhinge.wire.WorkerReport;
import org.ternhinge.worker.Workers;

/**
 * Reads the cloud's list again and again: machines nobody expected show in it, failed ones are
 * marked, and one that was listed and is missing for longer than the list may lag has been taken.
 */
final class MachineInventory {
  private static final Logger LOG = LoggerFactory.getLogger(MachineInventory.class);

  /** Of the orders that may still go out, one in so many may tell workers of the term. */
  private static final int GREETS_PART = 2;

  private final MachineRemoval removal;
  private final LeadershipExecutor executor;
  private final MachineRegistry machines;
  private final RoundTrigger rounds;
  private final ReportSink reports;
  private final SteadyTime electedAt;
  private final Settings settings;
  private final Tuning tuning;
  private final Cloud cloud;
  private final CommandDispatcher orders;
  private final Clock clock;
  private final Authority authority;
  private final Rentals rentals;
  private final MachineReleases returns;
  private final List<HostInfo> listing = new ArrayList<>();
  private SteadyTime listingSince;

  MachineInventory(
      MachineRemoval removal,
      ControllerServices around,
      Authority authority,
      CommandDispatcher orders,
      Rentals rentals,
      MachineReleases returns,
      LeadershipExecutor executor,
      MachineRegistry machines,
      RoundTrigger rounds,
      ReportSink reports,
      SteadyTime electedAt) {
    this.removal = removal;
    this.executor = executor;
    this.machines = machines;
    this.rounds = rounds;
    this.reports = reports;
    this.electedAt = electedAt;
    this.settings = around.settings();
    this.tuning = around.tuning();
    this.cloud = around.cloud();
    this.orders = orders;
    this.clock = around.clock();
    this.authority = authority;
    this.rentals = rentals;
    this.returns = returns;
  }

  /** Reads the list, and goes on reading it. */
  void list() {
    listing.clear();
    listingSince = clock.now();
    page(null);
  }

  private void page(MachineId after) {
    cloud
        .list(after, 500)
        .whenComplete(
            (o, e) ->
                executor.locked(
                    () -> {
                      if (o instanceof Outcome.Applied<HostInfo.Page> applied) {
                        HostInfo.Page p = applied.value();
                        listing.addAll(p.hosts());
                        if (p.more() && !p.hosts().isEmpty()) {
                          page(p.hosts().get(p.hosts().size() - 1).machine());
                          return;
                        }
                        listed();
                      }
                      executor.later(settings.cloudLimits().listLagS() / 2, this::list);
                    }));
  }

  private void listed() {
    SteadyTime now = clock.now();
    Set<MachineId> shown = new HashSet<>();
    // Most workers find their way by themselves; those that have not after a while are told, few
    // at a time, since a new leader has better things to do than to call hundreds of machines.
    boolean soon = now.secondsSince(electedAt) < 2 * settings.workers().reportS();
    int greets = soon ? 0 : orders.spare() / GREETS_PART;
    for (HostInfo h : listing) {
      shown.add(h.machine());
      if (machines.wasRemoved(h.machine())) {
        continue;
      }
      Machine m = machines.findOrAdd(h.machine(), now);
      if (m.type == null) {
        m.type = h.type();
        m.zoneName = h.zone();
        m.zone = settings.zones().indexOf(h.zone());
        m.spot = h.spot();
      }
      if (m.listedAt == null) {
        m.rentedAt = now.plusSeconds(-h.ageS());
        m.view = null;
      }
      if (!m.greeted && greets > 0 && greet(m, h)) {
        m.greeted = true;
        greets--;
      }
      m.listedAt = now;
      m.listedUp = h.state() == HostInfo.State.RUNNING;
      rentals.seen(m.id);
      if (h.state() == HostInfo.State.FAILED && !m.gone) {
        LOG.info("machine {} has failed", m.id);
        removal.lost(m, "machine failed");
        if (!m.releasing) {
          returns.release(m);
        }
      }
    }
    // A machine stays listed until it is gone, and no list is older than twice the lag: one that
    // was listed earlier than that and is missing now has been taken.
    double oldest = 2 * settings.cloudLimits().listLagS() * (1 + Settings.DRIFT) + tuning.marginS();
    for (Machine m : List.copyOf(machines.all())) {
      if (m.listedAt != null
          && !shown.contains(m.id)
          && listingSince.secondsSince(m.listedAt) > oldest) {
        LOG.info("machine {} is no longer listed", m.id);
        removal.lost(m, "machine taken");
        removal.remove(m);
      }
    }
    rentals.listed(shown, now);
    rounds.requestRound();
  }

  /**
   * Tells a worker that has not reported yet of this term. It may still report to an earlier leader
   * that is cut off from everything else; having seen this term it turns away from it.
   */
  private boolean greet(Machine m, HostInfo h) {
    if (m.reported || h.state() != HostInfo.State.RUNNING || h.endpoint() == null) {
      return false;
    }
    Endpoint endpoint;
    try {
      endpoint = Endpoint.parse(h.endpoint());
    } catch (IllegalArgumentException e) {
      LOG.warn("machine {} is listed without a usable endpoint", m.id);
      return false;
    }
    greet(m, endpoint, m.session, 2);
    return true;
  }

  private void greet(Machine m, Endpoint endpoint, Session session, int tries) {
    if (!authority.valid()) {
      return;
    }
    orders.greet(
        endpoint,
        session,
        o -> {
          if (!(o instanceof Outcome.Applied<Workers.Answer> applied)) {
            return;
          }
          WorkerReport r = applied.value().report();
          reports.take(m, r, false, clock.now());
          if (applied.value() instanceof Workers.Answer.Refused
              && r.token().compareTo(authority.term()) <= 0
              && tries > 1) {
            greet(m, endpoint, r.session(), tries - 1);
          }
        });
  }
}
