package org.ternhinge.scaling;

import java.util.HashSet;
import java.util.Set;
import org.ternhinge.model.MachineId;
import org.ternhinge.wire.ProvisionRequest;

/**
 * A provision request that is recorded and not completed: it is unanswered, or some of its machines
 * have not been seen yet. Guarded by the controller's lock.
 */
final class OpenProvision {
  private final ProvisionRequest request;
  private final Set<MachineId> unseen = new HashSet<>();
  private boolean maybeApplied;
  private boolean answered;

  private OpenProvision(ProvisionRequest request, boolean maybeApplied) {
    this.request = request;
    this.maybeApplied = maybeApplied;
  }

  /** A request that was never sent. */
  static OpenProvision unsent(ProvisionRequest request) {
    return new OpenProvision(request, false);
  }

  /** A request of an earlier leader, which may have sent it. */
  static OpenProvision recovered(ProvisionRequest request) {
    return new OpenProvision(request, true);
  }

  ProvisionRequest request() {
    return request;
  }

  String name() {
    return request.name();
  }

  OfferKey offer() {
    return OfferKey.of(request);
  }

  /** The outcome of a try is not known. */
  void markMaybeApplied() {
    maybeApplied = true;
  }

  /** Whether the cloud may have carried the request out although no answer shows it. */
  boolean isMaybeApplied() {
    return maybeApplied;
  }

  /** The cloud has answered with the machines; those given have not been seen yet. */
  void markAnswered(Set<MachineId> notSeenYet) {
    answered = true;
    unseen.addAll(notSeenYet);
  }

  boolean isAnswered() {
    return answered;
  }

  /** Whether the request is answered and all of its machines have been seen. */
  boolean isComplete() {
    return answered && unseen.isEmpty();
  }

  /** Records that a machine was seen, and returns whether the request was waiting for it. */
  boolean seen(MachineId id) {
    return unseen.remove(id);
  }
}
