package org.ternhinge.machine;

import java.util.Optional;
import org.ternhinge.model.MonotonicTime;

/**
 * The state of one machine as reported by the cloud: its provision time, its last listing, and
 * whether it is being released, reclaimed or terminated. Guarded by the controller's lock.
 */
public final class CloudStatus {
  private final MonotonicTime discoveredAt;
  private MonotonicTime provisionedAt;
  private MonotonicTime listedAt;
  private boolean listedRunning;
  private MonotonicTime reclaimAt;
  private boolean releasing;
  private boolean terminated;

  CloudStatus(MonotonicTime now) {
    this.discoveredAt = now;
    this.provisionedAt = now;
  }

  /** Returns when the machine was discovered in this leadership; it was provisioned earlier. */
  public MonotonicTime discoveredAt() {
    return discoveredAt;
  }

  /** Returns an upper bound of the provision time. */
  public MonotonicTime provisionedAt() {
    return provisionedAt;
  }

  void setProvisionedAt(MonotonicTime at) {
    provisionedAt = at;
  }

  /** Records that a listing contains the machine. */
  public void recordListing(MonotonicTime at, boolean running) {
    listedAt = at;
    listedRunning = running;
  }

  /** Returns whether any listing has contained the machine. */
  public boolean isListed() {
    return listedAt != null;
  }

  /** Returns whether the last listing that contained the machine showed it as running. */
  public boolean isListedRunning() {
    return listedRunning;
  }

  /** Returns the last time at which the machine was confirmed to exist. */
  public MonotonicTime lastConfirmedAt() {
    return listedAt == null ? discoveredAt : listedAt;
  }

  /**
   * Records a notice of the cloud that it will reclaim the spot machine. Only the first notice has
   * an effect.
   */
  public void recordReclaimNotice(MonotonicTime at) {
    if (reclaimAt == null) {
      reclaimAt = at;
    }
  }

  /** Returns when the cloud will reclaim the machine; empty without a notice. */
  public Optional<MonotonicTime> reclaimAt() {
    return Optional.ofNullable(reclaimAt);
  }

  /** Returns whether the cloud has given notice that it will reclaim the machine. */
  public boolean hasReclaimNotice() {
    return reclaimAt != null;
  }

  /** Marks the machine as being released, which excludes it from placements. */
  public void markReleasing() {
    releasing = true;
  }

  public boolean isReleasing() {
    return releasing;
  }

  /** Marks the machine as certainly gone. Its name is never reused. */
  public void markTerminated() {
    terminated = true;
  }

  /** Returns whether the machine is certainly gone. */
  public boolean isTerminated() {
    return terminated;
  }

  /** Returns whether the machine is neither terminated nor about to be released or reclaimed. */
  public boolean isRetained() {
    return !terminated && !releasing && reclaimAt == null;
  }
}
