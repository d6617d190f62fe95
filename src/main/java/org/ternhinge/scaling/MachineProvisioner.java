package org.ternhinge.scaling;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Keys;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineDescription;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.schedule.Plan;
import org.ternhinge.store.Entry;
import org.ternhinge.term.BucketedRecords;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.wire.ProvisionRequest;
import org.ternhinge.wire.WireException;

/**
 * Provisions machines. The name and content of a provision request are recorded before it is sent.
 * If the answer is lost, the request is resent under the same name, which makes it idempotent for
 * the cloud. The record is kept until every machine of the request has been seen in a heartbeat or
 * a listing, so that no leader loses track of a machine that is being charged. Guarded by the
 * controller's lock.
 */
public final class MachineProvisioner {
  private static final Logger LOG = LoggerFactory.getLogger(MachineProvisioner.class);

  private final LeadershipExecutor executor;
  private final MachineRegistry machines;
  private final RoundTrigger rounds;
  private final List<String> zones;
  private final Cloud cloud;
  private final BucketedRecords records;
  private final Authority authority;
  private final Clock clock;
  private final LockedExecutor locked;
  private final RetryPolicy retryPolicy = RetryPolicy.RECORDED_REQUESTS;
  private final OfferBackoff offerBackoff = new OfferBackoff();

  /** Incomplete requests by name, oldest first. */
  private final Map<String, OpenProvision> openProvisions = new LinkedHashMap<>();

  private long provisionCount;

  /** Creates a provisioner without open requests. */
  public MachineProvisioner(LeadershipContext context, MachineRegistry machines) {
    this.zones = context.services().settings().zones();
    this.cloud = context.services().cloud();
    this.clock = context.services().clock();
    this.locked = new LockedExecutor(context.services().lock());
    this.authority = context.authority();
    this.executor = context.executor();
    this.rounds = context.rounds();
    this.records = context.bucketedRecords(Keys.PROVISIONS);
    this.machines = machines;
  }

  // ---- requests ---------------------------------------------------------------------------------

  /** Provisions machines unless a request for the same offer is unanswered. */
  public void provision(Plan.ScaleOut wanted) {
    OfferKey offer = new OfferKey(wanted.type(), wanted.zone(), wanted.spot());
    if (hasUnansweredRequest(offer)) {
      return;
    }
    String name = "t" + authority.term() + "-" + ++provisionCount;
    int count = Math.min(wanted.count(), ProvisionRequest.MAX_COUNT);
    ProvisionRequest request =
        new ProvisionRequest(name, wanted.type(), wanted.zone(), wanted.spot(), count);
    OpenProvision provision = OpenProvision.unsent(request);
    openProvisions.put(name, provision);
    LOG.info("scale out: provisioning {} of {}", count, offer);
    records.put(name, request.write(), () -> send(provision));
  }

  private boolean hasUnansweredRequest(OfferKey offer) {
    for (OpenProvision provision : openProvisions.values()) {
      if (!provision.isAnswered() && provision.offer().equals(offer)) {
        return true;
      }
    }
    return false;
  }

  /** Resends the recorded requests of earlier leaders, since their outcome is unknown. */
  public void resume(Entry entry) {
    records.restore(entry, this::resume);
  }

  private void resume(String name, JsonNode record) {
    try {
      OpenProvision provision = OpenProvision.recovered(ProvisionRequest.read(record));
      openProvisions.put(provision.name(), provision);
      send(provision);
    } catch (WireException e) {
      LOG.error("cannot parse record of provision request {}: {}", name, e.getMessage());
    }
  }

  private void send(OpenProvision provision) {
    if (!authority.isValid()) {
      sendAfter(retryPolicy.failedDelayS(), provision);
      return;
    }
    locked.whenComplete(
        cloud.provision(provision.request()), outcome -> handleOutcome(provision, outcome));
  }

  private void sendAfter(double seconds, OpenProvision provision) {
    executor.schedule(seconds, () -> send(provision));
  }

  private void handleOutcome(OpenProvision provision, Outcome<List<MachineId>> outcome) {
    if (outcome instanceof Outcome.Applied<List<MachineId>> applied) {
      handleMachines(provision, applied.value());
    } else if (RetryPolicy.isRateLimited(outcome)) {
      sendAfter(retryPolicy.delayS(outcome), provision);
    } else if (outcome instanceof Outcome.NotApplied<List<MachineId>> notApplied) {
      handleRefusal(provision, notApplied);
    } else {
      provision.markMaybeApplied();
      sendAfter(retryPolicy.delayS(outcome), provision);
    }
  }

  private void handleMachines(OpenProvision provision, List<MachineId> ids) {
    MonotonicTime now = clock.now();
    Set<MachineId> unseen = new HashSet<>();
    for (MachineId id : ids) {
      if (!machines.wasRemoved(id) && !isSeen(addMachine(provision.request(), id, now))) {
        unseen.add(id);
      }
    }
    provision.markAnswered(unseen);
    if (ids.size() < provision.request().count()) {
      offerBackoff.pause(provision.offer(), now);
    } else {
      offerBackoff.reset(provision.offer());
    }
    removeIfComplete(provision);
    rounds.requestRound();
  }

  private Machine addMachine(ProvisionRequest request, MachineId id, MonotonicTime now) {
    Machine machine = machines.findOrAdd(id, now);
    if (!machine.description().isKnown()) {
      machine.setDescription(
          MachineDescription.of(request.type(), request.zone(), request.spot(), zones));
      machine.setProvisionedAt(now);
    }
    return machine;
  }

  private static boolean isSeen(Machine machine) {
    return machine.agent().hasReported() || machine.cloud().isListed();
  }

  /** Handles a request that the cloud did not apply; an earlier try of it may have been applied. */
  private void handleRefusal(OpenProvision provision, Outcome.NotApplied<List<MachineId>> refusal) {
    boolean isFinal = refusal.reason() == Reason.CONFLICT || refusal.reason() == Reason.INVALID;
    if (isFinal || !provision.isMaybeApplied()) {
      offerBackoff.pause(provision.offer(), clock.now());
      remove(provision);
    } else {
      sendAfter(retryPolicy.delayS(refusal), provision);
    }
  }

  // ---- completion -------------------------------------------------------------------------------

  /**
   * Records that a machine appeared in a heartbeat or a listing, so that it no longer needs the
   * record of its request.
   */
  public void markSeen(MachineId id) {
    for (OpenProvision provision : List.copyOf(openProvisions.values())) {
      if (provision.markSeen(id)) {
        removeIfComplete(provision);
      }
    }
  }

  private void removeIfComplete(OpenProvision provision) {
    if (provision.isComplete()) {
      remove(provision);
    }
  }

  private void remove(OpenProvision provision) {
    openProvisions.remove(provision.name());
    records.remove(provision.name());
  }

  // ---- state for the planner --------------------------------------------------------------------

  /** Returns whether an offer is paused because the cloud lacked capacity for it. */
  boolean isPaused(OfferKey offer, MonotonicTime now) {
    return offerBackoff.isPaused(offer, now);
  }

  /** Returns the unanswered requests, oldest first. */
  List<ProvisionRequest> unansweredRequests() {
    List<ProvisionRequest> unanswered = new ArrayList<>();
    for (OpenProvision provision : openProvisions.values()) {
      if (!provision.isAnswered()) {
        unanswered.add(provision.request());
      }
    }
    return unanswered;
  }
}
