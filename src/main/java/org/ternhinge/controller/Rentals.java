package org.ternhinge.controller;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.Lock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.config.Settings;
import org.ternhinge.ledger.Authority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.state.Entry;
import org.ternhinge.wire.Flavor;
import org.ternhinge.wire.RentalRequest;
import org.ternhinge.wire.WireException;

/**
 * Rents machines. A rental's name and content are recorded before it is sent; a lost answer is
 * Unknown and settled by repeating the same name, which the cloud answers the same.
 */
final class Rentals {
  private static final Logger LOG = LoggerFactory.getLogger(Rentals.class);
  private static final double RETRY_S = 1.5;
  private static final double HELD_BACK_S = 0.3;

  private static final class Rental {
    private final RentalRequest request;
    private boolean maybeSent;
    private Set<MachineId> unseen;

    Rental(RentalRequest request) {
      this.request = request;
    }
  }

  private static final class Refusal {
    private SteadyTime until;
    private double pauseS;
  }

  private final Settings settings;
  private final LeadershipExecutor executor;
  private final MachineRegistry machines;
  private final RoundTrigger rounds;
  private final Cloud cloud;
  private final PackedRecords record;
  private final Authority authority;
  private final Clock clock;
  private final Lock lock;
  private final Map<String, Rental> open = new LinkedHashMap<>();
  private final Map<String, Refusal> refusals = new HashMap<>();
  private long counter;

  Rentals(
      ControllerServices services,
      Authority authority,
      LeadershipExecutor executor,
      MachineRegistry machines,
      RoundTrigger rounds,
      PackedRecords record) {
    this.settings = services.settings();
    this.executor = executor;
    this.machines = machines;
    this.rounds = rounds;
    this.cloud = services.cloud();
    this.record = record;
    this.authority = authority;
    this.clock = services.clock();
    this.lock = services.lock();
  }

  private void locked(Runnable action) {
    lock.lock();
    try {
      action.run();
    } finally {
      lock.unlock();
    }
  }

  private static String offerKey(String type, String zone, boolean spot) {
    return type + " " + zone + (spot ? " spot" : "");
  }

  void rent(Plan.Rent want) {
    String key = offerKey(want.type(), want.zone(), want.spot());
    for (Rental r : open.values()) {
      RentalRequest q = r.request;
      if (r.unseen == null && offerKey(q.type(), q.zone(), q.spot()).equals(key)) {
        return;
      }
    }
    String name = "t" + authority.term() + "-" + ++counter;
    int count = Math.min(want.count(), RentalRequest.MAX_COUNT);
    RentalRequest request = new RentalRequest(name, want.type(), want.zone(), want.spot(), count);
    Rental rental = new Rental(request);
    open.put(name, rental);
    LOG.info("renting {} {} in {}{}", count, want.type(), want.zone(), want.spot() ? " spot" : "");
    record.put(name, request.write(), () -> send(rental));
  }

  /** Earlier leaders' rentals whose fate is not known here. */
  void resume(Entry entry) {
    record.known(
        entry,
        (name, value) -> {
          try {
            resume(RentalRequest.read(value));
          } catch (WireException x) {
            LOG.error("rental {} is unreadable: {}", name, x.getMessage());
          }
        });
  }

  private void resume(RentalRequest request) {
    Rental rental = new Rental(request);
    rental.maybeSent = true;
    open.put(request.name(), rental);
    send(rental);
  }

  private void send(Rental rental) {
    if (!authority.valid()) {
      executor.later(RETRY_S, () -> send(rental));
      return;
    }
    cloud.rent(rental.request).whenComplete((o, e) -> locked(() -> answered(rental, o)));
  }

  private void answered(Rental rental, Outcome<List<MachineId>> outcome) {
    RentalRequest q = rental.request;
    String key = offerKey(q.type(), q.zone(), q.spot());
    SteadyTime now = clock.now();
    if (outcome instanceof Outcome.Applied<List<MachineId>> applied) {
      rental.unseen = new HashSet<>();
      for (MachineId id : applied.value()) {
        if (machines.wasRemoved(id)) {
          continue;
        }
        Machine m = machines.findOrAdd(id, now);
        if (m.type == null) {
          m.type = q.type();
          m.zoneName = q.zone();
          m.zone = settings.zones().indexOf(q.zone());
          m.spot = q.spot();
          m.rentedAt = now;
        }
        if (!m.reported && m.listedAt == null) {
          rental.unseen.add(id);
        }
      }
      if (applied.value().size() < q.count()) {
        refuse(key, now);
      } else {
        refusals.remove(key);
      }
      finishIfSeen(rental);
      rounds.requestRound();
    } else if (outcome != null && outcome.isBecause(Reason.HELD_BACK)) {
      // The cloud's rate is used up; the recorded request only waits for its turn.
      executor.later(HELD_BACK_S, () -> send(rental));
    } else if (outcome instanceof Outcome.NotApplied<List<MachineId>> not) {
      boolean full = not.reason() == Reason.CONFLICT;
      if (full || not.reason() == Reason.INVALID || !rental.maybeSent) {
        refuse(key, now);
        forget(rental);
      } else {
        executor.later(RETRY_S, () -> send(rental));
      }
    } else {
      rental.maybeSent = true;
      executor.later(RETRY_S, () -> send(rental));
    }
  }

  private void refuse(String key, SteadyTime now) {
    Refusal r = refusals.computeIfAbsent(key, k -> new Refusal());
    r.pauseS = r.pauseS == 0 ? 5 : Math.min(30, r.pauseS * 2);
    r.until = now.plusSeconds(r.pauseS);
  }

  private void forget(Rental rental) {
    open.remove(rental.request.name());
    record.remove(rental.request.name());
  }

  /** A machine has shown up by itself; its rental's record has done its duty. */
  void seen(MachineId id) {
    for (Rental r : List.copyOf(open.values())) {
      if (r.unseen != null && r.unseen.remove(id)) {
        finishIfSeen(r);
      }
    }
  }

  private void finishIfSeen(Rental r) {
    if (r.unseen.isEmpty()) {
      forget(r);
    }
  }

  void listed(Set<MachineId> shown, SteadyTime now) {
    shown.forEach(this::seen);
  }

  List<Snapshot.Offer> offers(Collection<Flavor> flavors, List<String> zones, SteadyTime now) {
    List<Snapshot.Offer> out = new ArrayList<>();
    for (Flavor f : flavors) {
      for (String zone : f.zones()) {
        int z = zones.indexOf(zone);
        if (z < 0) {
          continue;
        }
        for (boolean spot : new boolean[] {true, false}) {
          Refusal r = refusals.get(offerKey(f.name(), zone, spot));
          if (r == null || r.until.isBefore(now)) {
            out.add(new Snapshot.Offer(f, z, zone, spot, RentalRequest.MAX_COUNT));
          }
        }
      }
    }
    return out;
  }

  /** Machines asked for whose names are not known yet: as good as coming. */
  List<Snapshot.Coming> coming(Map<String, Flavor> flavors, List<String> zones) {
    List<Snapshot.Coming> out = new ArrayList<>();
    for (Rental r : open.values()) {
      RentalRequest q = r.request;
      Flavor f = flavors.get(q.type());
      int zone = zones.indexOf(q.zone());
      if (r.unseen == null && f != null && zone >= 0) {
        Snapshot.Offer offer = new Snapshot.Offer(f, zone, q.zone(), q.spot(), q.count());
        out.add(new Snapshot.Coming(offer, q.count()));
      }
    }
    return out;
  }
}
