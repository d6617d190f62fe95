package org.ternhinge.machine;

import java.util.Optional;
import org.ternhinge.model.MonotonicTime;

/**
 * The state of one machine as the cloud sees it: when it was provisioned, what listings show of it,
 * and whether it is being released, reclaimed or terminated. Guarded by the controller's lock.
 */
public final class CloudStatus {
  private final MonotonicTime knownSince;
  private MonotonicTime provisionedAt;
  private MonotonicTime listedAt;
  private boolean listedRunning;
  private MonotonicTime reclaimAt;
  private boolean releasing;
  private boolean terminated;

  CloudStatus(MonotonicTime now) {
    this.knownSince = now;
    this.provisionedAt = now;
  }

  /** When the machine became known in this leadership; it was provisioned before. */
  public MonotonicTime knownSince() {
    return knownSince;
  }

  /** The latest time at which the machine can have been provisioned. */
  public MonotonicTime provisionedAt() {
    return provisionedAt;
  }

  void provisionedAt(MonotonicTime at) {
    provisionedAt = at;
  }

  /** A listing of the cloud shows the machine. */
  public void listed(MonotonicTime at, boolean running) {
    listedAt = at;
    listedRunning = running;
  }

  /** Whether any listing has shown the machine. */
  public boolean isListed() {
    return listedAt != null;
  }

  /** Whether the last listing that showed the machine showed it as running. */
  public boolean isListedRunning() {
    return listedRunning;
  }

  /** When the machine was last known to exist for the cloud. */
  public MonotonicTime lastKnownAt() {
    return listedAt == null ? knownSince : listedAt;
  }

  /** The cloud has given notice that it reclaims the spot machine; the first notice stands. */
  public void reclaimAt(MonotonicTime at) {
    if (reclaimAt == null) {
      reclaimAt = at;
    }
  }

  /** When the cloud reclaims the machine, if it has given notice. */
  public Optional<MonotonicTime> reclaimAt() {
    return Optional.ofNullable(reclaimAt);
  }

  /** Whether the cloud has given notice that it reclaims the machine. */
  public boolean isReclaimed() {
    return reclaimAt != null;
  }

  /** The machine is to be released; nothing more is placed on it. */
  public void markReleasing() {
    releasing = true;
  }

  /** Whether the machine is to be released. */
  public boolean isReleasing() {
    return releasing;
  }

  /** The machine is certainly gone; its name is never reused. */
  public void markTerminated() {
    terminated = true;
  }

  /** Whether the machine is certainly gone. */
  public boolean isTerminated() {
    return terminated;
  }

  /** Whether the machine is neither terminated nor about to be released or reclaimed. */
  public boolean isStaying() {
    return !terminated && !releasing && reclaimAt == null;
  }
}
