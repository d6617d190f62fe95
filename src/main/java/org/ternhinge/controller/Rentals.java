package org.ternhinge.controller;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.ledger.Authority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.state.Entry;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.RentalRequest;
import org.ternhinge.wire.WireException;

/**
 * Rents machines. A rental's name and content are recorded before it is sent; a lost answer is
 * Unknown and settled by repeating the same name, which the cloud answers the same. The record is
 * kept until every machine of the rental has shown up, so that no leader forgets a machine that is
 * being charged. Guarded by the controller's lock.
 */
final class Rentals {
  private static final Logger LOG = LoggerFactory.getLogger(Rentals.class);

  /** Seconds until a rental whose answer was lost, or that could not be sent, is sent again. */
  private static final double RETRY_S = 1.5;

  /** Seconds until a rental that found the cloud's rate used up is sent again. */
  private static final double HELD_BACK_S = 0.3;

  /** Seconds for which an offer that had no room is not asked for; doubled each time. */
  private static final double FIRST_PAUSE_S = 5;

  private static final double MAX_PAUSE_S = 30;

  private static final class Rental {
    private final RentalRequest request;

    /** Whether the cloud may have carried the request out although no answer says so. */
    private boolean maybeSent;

    /** Its machines that have not shown up yet; null until their names are known. */
    private Set<MachineId> unseen;

    Rental(RentalRequest request) {
      this.request = request;
    }

    boolean answered() {
      return unseen != null;
    }

    String offer() {
      return offerKey(request.type(), request.zone(), request.spot());
    }
  }

  /** An offer that had no room when last asked for. */
  private static final class Refusal {
    private SteadyTime until;
    private double pauseS;
  }

  private final LeadershipExecutor executor;
  private final MachineRegistry machines;
  private final RoundTrigger rounds;
  private final List<String> zones;
  private final Cloud cloud;
  private final PackedRecords records;
  private final Authority authority;
  private final Clock clock;
  private final LockedExecutor locked;
  private final Map<String, Rental> openRentals = new LinkedHashMap<>();
  private final Map<String, Refusal> refusals = new HashMap<>();
  private long rentalCount;

  /**
   * Creates a part that has nothing rented yet.
   *
   * @param records holds the rentals whose duty is not done
   */
  Rentals(
      ControllerServices services,
      Authority authority,
      LeadershipExecutor executor,
      MachineRegistry machines,
      RoundTrigger rounds,
      PackedRecords records) {
    this.zones = services.settings().zones();
    this.cloud = services.cloud();
    this.clock = services.clock();
    this.locked = new LockedExecutor(services.lock());
    this.authority = authority;
    this.executor = executor;
    this.machines = machines;
    this.rounds = rounds;
    this.records = records;
  }

  private static String offerKey(String type, String zone, boolean spot) {
    return type + " " + zone + (spot ? " spot" : "");
  }

  /** Rents machines, unless a rental of the same offer is still without an answer. */
  void rent(Plan.Rent wanted) {
    String offer = offerKey(wanted.type(), wanted.zone(), wanted.spot());
    for (Rental rental : openRentals.values()) {
      if (!rental.answered() && rental.offer().equals(offer)) {
        return;
      }
    }
    String name = "t" + authority.term() + "-" + ++rentalCount;
    int count = Math.min(wanted.count(), RentalRequest.MAX_COUNT);
    RentalRequest request =
        new RentalRequest(name, wanted.type(), wanted.zone(), wanted.spot(), count);
    Rental rental = new Rental(request);
    openRentals.put(name, rental);
    LOG.info("renting {} {}", count, offer);
    records.put(name, request.write(), () -> send(rental));
  }

  /** Takes over earlier leaders' rentals, whose fate is not known here. */
  void resume(Entry entry) {
    records.known(
        entry,
        (name, value) -> {
          try {
            resume(RentalRequest.read(value));
          } catch (WireException e) {
            LOG.error("rental {} is unreadable: {}", name, e.getMessage());
          }
        });
  }

  private void resume(RentalRequest request) {
    Rental rental = new Rental(request);
    rental.maybeSent = true;
    openRentals.put(request.name(), rental);
    send(rental);
  }

  private void send(Rental rental) {
    if (!authority.valid()) {
      sendAfter(RETRY_S, rental);
      return;
    }
    locked.whenAnswered(cloud.rent(rental.request), outcome -> answered(rental, outcome));
  }

  private void sendAfter(double seconds, Rental rental) {
    executor.later(seconds, () -> send(rental));
  }

  private void answered(Rental rental, Outcome<List<MachineId>> outcome) {
    if (outcome instanceof Outcome.Applied<List<MachineId>> applied) {
      rented(rental, applied.value());
    } else if (outcome != null && outcome.isBecause(Reason.HELD_BACK)) {
      // The cloud's rate is used up; the recorded request only waits for its turn.
      sendAfter(HELD_BACK_S, rental);
    } else if (outcome instanceof Outcome.NotApplied<List<MachineId>> notApplied) {
      refused(rental, notApplied.reason());
    } else {
      rental.maybeSent = true;
      sendAfter(RETRY_S, rental);
    }
  }

  private void rented(Rental rental, List<MachineId> names) {
    SteadyTime now = clock.now();
    rental.unseen = new HashSet<>();
    for (MachineId id : names) {
      if (!machines.wasRemoved(id)) {
        addMachine(rental, id, now);
      }
    }
    if (names.size() < rental.request.count()) {
      pauseOffer(rental.offer(), now);
    } else {
      refusals.remove(rental.offer());
    }
    forgetIfAllSeen(rental);
    rounds.requestRound();
  }

  private void addMachine(Rental rental, MachineId id, SteadyTime now) {
    Machine machine = machines.findOrAdd(id, now);
    if (machine.type == null) {
      RentalRequest request = rental.request;
      machine.type = request.type();
      machine.zoneName = request.zone();
      machine.zone = zones.indexOf(request.zone());
      machine.spot = request.spot();
      machine.rentedAt = now;
    }
    if (!machine.heartbeatReceived && machine.listedAt == null) {
      rental.unseen.add(id);
    }
  }

  /** The cloud says that it did nothing; an earlier copy of the same request may have. */
  private void refused(Rental rental, Reason reason) {
    boolean isFinal = reason == Reason.CONFLICT || reason == Reason.INVALID;
    if (isFinal || !rental.maybeSent) {
      pauseOffer(rental.offer(), clock.now());
      forget(rental);
    } else {
      sendAfter(RETRY_S, rental);
    }
  }

  private void pauseOffer(String offer, SteadyTime now) {
    Refusal refusal = refusals.computeIfAbsent(offer, key -> new Refusal());
    refusal.pauseS =
        refusal.pauseS == 0 ? FIRST_PAUSE_S : Math.min(MAX_PAUSE_S, refusal.pauseS * 2);
    refusal.until = now.plusSeconds(refusal.pauseS);
  }

  private void forget(Rental rental) {
    openRentals.remove(rental.request.name());
    records.remove(rental.request.name());
  }

  /** A machine has shown up by itself; its rental's record has done its duty. */
  void seen(MachineId id) {
    for (Rental rental : List.copyOf(openRentals.values())) {
      if (rental.answered() && rental.unseen.remove(id)) {
        forgetIfAllSeen(rental);
      }
    }
  }

  private void forgetIfAllSeen(Rental rental) {
    if (rental.unseen.isEmpty()) {
      forget(rental);
    }
  }

  /** What may be asked for now: all but the offers that lately had no room. */
  List<Snapshot.Offer> offers(Collection<MachineType> types, BootTimes bootTimes, SteadyTime now) {
    List<Snapshot.Offer> offers = new ArrayList<>();
    for (MachineType type : types) {
      for (String zone : type.zones()) {
        if (zones.contains(zone)) {
          addOffer(type, zone, true, bootTimes, now, offers);
          addOffer(type, zone, false, bootTimes, now, offers);
        }
      }
    }
    return offers;
  }

  private void addOffer(
      MachineType type,
      String zone,
      boolean spot,
      BootTimes bootTimes,
      SteadyTime now,
      List<Snapshot.Offer> offers) {
    Refusal refusal = refusals.get(offerKey(type.name(), zone, spot));
    if (refusal == null || refusal.until.isBefore(now)) {
      int zoneIndex = zones.indexOf(zone);
      double bootS = bootTimes.expectedS(type, zone);
      offers.add(new Snapshot.Offer(type, zoneIndex, zone, spot, RentalRequest.MAX_COUNT, bootS));
    }
  }

  /** Machines asked for whose names are not known yet: as good as coming. */
  List<Snapshot.Coming> coming(Map<String, MachineType> types) {
    List<Snapshot.Coming> coming = new ArrayList<>();
    for (Rental rental : openRentals.values()) {
      RentalRequest request = rental.request;
      MachineType type = types.get(request.type());
      int zone = zones.indexOf(request.zone());
      if (!rental.answered() && type != null && zone >= 0) {
        int count = request.count();
        Snapshot.Offer offer =
            new Snapshot.Offer(type, zone, request.zone(), request.spot(), count);
        coming.add(new Snapshot.Coming(offer, count));
      }
    }
    return coming;
  }
}
