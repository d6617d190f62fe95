package org.ternhinge.scaling;

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
import org.ternhinge.machine.BootTimes;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineDescription;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.store.Entry;
import org.ternhinge.term.BucketedRecords;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.ProvisionRequest;
import org.ternhinge.wire.WireException;

/**
 * Provisions machines. A provision request's name and content are recorded before it is sent; a
 * lost answer is Unknown and settled by repeating the same name, which the cloud answers the same.
 * The record is kept until every machine of the provision request has shown up, so that no leader
 * forgets a machine that is being charged. Guarded by the controller's lock.
 */
public final class MachineProvisioner {
  private static final Logger LOG = LoggerFactory.getLogger(MachineProvisioner.class);

  /**
   * Seconds until a provision request whose answer was lost, or that could not be sent, is sent
   * again.
   */
  private static final double RETRY_S = 1.5;

  /** Seconds until a provision request that found the cloud's rate used up is sent again. */
  private static final double RATE_LIMIT_RETRY_S = 0.3;

  /** Seconds for which an offer that had no room is not asked for; doubled each time. */
  private static final double FIRST_PAUSE_S = 5;

  private static final double MAX_PAUSE_S = 30;

  private static final class OpenProvision {
    private final ProvisionRequest request;

    /** Whether the cloud may have carried the request out although no answer says so. */
    private boolean maybeSent;

    /** Its machines that have not shown up yet; null until their names are known. */
    private Set<MachineId> unseen;

    OpenProvision(ProvisionRequest request) {
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
  private static final class OfferBackoff {
    private SteadyTime until;
    private double pauseS;
  }

  private final LeadershipExecutor executor;
  private final MachineRegistry machines;
  private final RoundTrigger rounds;
  private final List<String> zones;
  private final Cloud cloud;
  private final BucketedRecords records;
  private final Authority authority;
  private final Clock clock;
  private final LockedExecutor locked;
  private final Map<String, OpenProvision> openProvisions = new LinkedHashMap<>();
  private final Map<String, OfferBackoff> backoffs = new HashMap<>();
  private long provisionCount;

  /**
   * Creates a part that has nothing provisioned yet.
   *
   * @param records holds the provision requests whose duty is not done
   */
  public MachineProvisioner(
      ControllerServices services,
      Authority authority,
      LeadershipExecutor executor,
      MachineRegistry machines,
      RoundTrigger rounds,
      BucketedRecords records) {
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

  /**
   * Provisions machines, unless a provision request of the same offer is still without an answer.
   */
  public void provision(Plan.ScaleOut wanted) {
    String offer = offerKey(wanted.type(), wanted.zone(), wanted.spot());
    for (OpenProvision provision : openProvisions.values()) {
      if (!provision.answered() && provision.offer().equals(offer)) {
        return;
      }
    }
    String name = "t" + authority.term() + "-" + ++provisionCount;
    int count = Math.min(wanted.count(), ProvisionRequest.MAX_COUNT);
    ProvisionRequest request =
        new ProvisionRequest(name, wanted.type(), wanted.zone(), wanted.spot(), count);
    OpenProvision provision = new OpenProvision(request);
    openProvisions.put(name, provision);
    LOG.info("scale out: provisioning {} of {}", count, offer);
    records.put(name, request.write(), () -> send(provision));
  }

  /** Takes over earlier leaders' provision requests, whose fate is not known here. */
  public void resume(Entry entry) {
    records.known(
        entry,
        (name, value) -> {
          try {
            resume(ProvisionRequest.read(value));
          } catch (WireException e) {
            LOG.error("provision request {} is unreadable: {}", name, e.getMessage());
          }
        });
  }

  private void resume(ProvisionRequest request) {
    OpenProvision provision = new OpenProvision(request);
    provision.maybeSent = true;
    openProvisions.put(request.name(), provision);
    send(provision);
  }

  private void send(OpenProvision provision) {
    if (!authority.valid()) {
      sendAfter(RETRY_S, provision);
      return;
    }
    locked.whenAnswered(
        cloud.provision(provision.request), outcome -> answered(provision, outcome));
  }

  private void sendAfter(double seconds, OpenProvision provision) {
    executor.later(seconds, () -> send(provision));
  }

  private void answered(OpenProvision provision, Outcome<List<MachineId>> outcome) {
    if (outcome instanceof Outcome.Applied<List<MachineId>> applied) {
      provisioned(provision, applied.value());
    } else if (outcome != null && outcome.isBecause(Reason.RATE_LIMITED)) {
      // The cloud's rate is used up; the recorded request only waits for its turn.
      sendAfter(RATE_LIMIT_RETRY_S, provision);
    } else if (outcome instanceof Outcome.NotApplied<List<MachineId>> notApplied) {
      refused(provision, notApplied.reason());
    } else {
      provision.maybeSent = true;
      sendAfter(RETRY_S, provision);
    }
  }

  private void provisioned(OpenProvision provision, List<MachineId> names) {
    SteadyTime now = clock.now();
    provision.unseen = new HashSet<>();
    for (MachineId id : names) {
      if (!machines.wasRemoved(id)) {
        addMachine(provision, id, now);
      }
    }
    if (names.size() < provision.request.count()) {
      pauseOffer(provision.offer(), now);
    } else {
      backoffs.remove(provision.offer());
    }
    forgetIfAllSeen(provision);
    rounds.requestRound();
  }

  private void addMachine(OpenProvision provision, MachineId id, SteadyTime now) {
    Machine machine = machines.findOrAdd(id, now);
    if (!machine.description().isKnown()) {
      ProvisionRequest request = provision.request;
      machine.describe(
          MachineDescription.of(request.type(), request.zone(), request.spot(), zones));
      machine.provisionedAt(now);
    }
    if (!machine.agent().isHeard() && !machine.cloud().isListed()) {
      provision.unseen.add(id);
    }
  }

  /** The cloud says that it did nothing; an earlier copy of the same request may have. */
  private void refused(OpenProvision provision, Reason reason) {
    boolean isFinal = reason == Reason.CONFLICT || reason == Reason.INVALID;
    if (isFinal || !provision.maybeSent) {
      pauseOffer(provision.offer(), clock.now());
      forget(provision);
    } else {
      sendAfter(RETRY_S, provision);
    }
  }

  private void pauseOffer(String offer, SteadyTime now) {
    OfferBackoff backoff = backoffs.computeIfAbsent(offer, key -> new OfferBackoff());
    backoff.pauseS =
        backoff.pauseS == 0 ? FIRST_PAUSE_S : Math.min(MAX_PAUSE_S, backoff.pauseS * 2);
    backoff.until = now.plusSeconds(backoff.pauseS);
  }

  private void forget(OpenProvision provision) {
    openProvisions.remove(provision.request.name());
    records.remove(provision.request.name());
  }

  /** A machine has shown up by itself; its provision request's record has done its duty. */
  public void seen(MachineId id) {
    for (OpenProvision provision : List.copyOf(openProvisions.values())) {
      if (provision.answered() && provision.unseen.remove(id)) {
        forgetIfAllSeen(provision);
      }
    }
  }

  private void forgetIfAllSeen(OpenProvision provision) {
    if (provision.unseen.isEmpty()) {
      forget(provision);
    }
  }

  /** What may be asked for now: all but the offers that lately had no room. */
  public List<Snapshot.Offer> offers(
      Collection<MachineType> types, BootTimes bootTimes, SteadyTime now) {
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
    OfferBackoff backoff = backoffs.get(offerKey(type.name(), zone, spot));
    if (backoff == null || backoff.until.isBefore(now)) {
      int zoneIndex = zones.indexOf(zone);
      double bootS = bootTimes.expectedS(type, zone);
      offers.add(
          new Snapshot.Offer(type, zoneIndex, zone, spot, ProvisionRequest.MAX_COUNT, bootS));
    }
  }

  /** Machines asked for whose names are not known yet: as good as coming. */
  public List<Snapshot.PendingProvision> pendingProvisions(Map<String, MachineType> types) {
    List<Snapshot.PendingProvision> pendingProvisions = new ArrayList<>();
    for (OpenProvision provision : openProvisions.values()) {
      ProvisionRequest request = provision.request;
      MachineType type = types.get(request.type());
      int zone = zones.indexOf(request.zone());
      if (!provision.answered() && type != null && zone >= 0) {
        int count = request.count();
        Snapshot.Offer offer =
            new Snapshot.Offer(type, zone, request.zone(), request.spot(), count);
        pendingProvisions.add(new Snapshot.PendingProvision(offer, count));
      }
    }
    return pendingProvisions;
  }
}
