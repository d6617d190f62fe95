package org.ternhinge.scaling;

import java.util.HashSet;
import java.util.Set;
import org.ternhinge.model.MachineId;
import org.ternhinge.wire.ProvisionRequest;

/**
 * A recorded provision request that is not complete: it is unanswered, or some of its machines have
 * not been seen yet. Guarded by the controller's lock.
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

  /** Creates a request that has not been sent. */
  static OpenProvision unsent(ProvisionRequest request) {
    return new OpenProvision(request, false);
  }

  /** Restores a request of an earlier leader, which may have sent it. */
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

  /** Records that the outcome of a try is unknown. */
  void markMaybeApplied() {
    maybeApplied = true;
  }

  /** Returns whether the cloud may have applied the request without an answer that confirms it. */
  boolean isMaybeApplied() {
    return maybeApplied;
  }

  /** Records the answer of the cloud and the machines in it that have not been seen yet. */
  void markAnswered(Set<MachineId> notSeenYet) {
    answered = true;
    unseen.addAll(notSeenYet);
  }

  boolean isAnswered() {
    return answered;
  }

  /** Returns whether the request is answered and all of its machines have been seen. */
  boolean isComplete() {
    return answered && unseen.isEmpty();
  }

  /** Marks a machine as seen and returns whether the request was waiting for it. */
  boolean markSeen(MachineId id) {
    return unseen.remove(id);
  }
}
