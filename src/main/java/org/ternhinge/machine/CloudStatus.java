package org.ternhinge.machine;

import java.util.Optional;
import org.ternhinge.model.SteadyTime;

/**
 * The life of one machine at the cloud: when it was provisioned, what listings say of it, and
 * whether it is being released or reclaimed, or is terminated. Guarded by the controller's lock.
 */
public final class CloudStatus {
  private final SteadyTime knownSince;
  private SteadyTime provisionedAt;
  private SteadyTime listedAt;
  private boolean listedRunning;
  private SteadyTime reclaimAt;
  private boolean releasing;
  private boolean terminated;

  CloudStatus(SteadyTime now) {
    this.knownSince = now;
    this.provisionedAt = now;
  }

  /** When this leadership first heard of the machine; it was provisioned before. */
  public SteadyTime knownSince() {
    return knownSince;
  }

  /** The latest time at which the machine can have been provisioned. */
  public SteadyTime provisionedAt() {
    return provisionedAt;
  }

  /** Whether the machine was provisioned before a time for certain. */
  public boolean isProvisionedBefore(SteadyTime time) {
    return provisionedAt.isBefore(time);
  }

  void provisionedAt(SteadyTime at) {
    provisionedAt = at;
  }

  /** A listing of the cloud shows the machine. */
  public void listed(SteadyTime at, boolean running) {
    listedAt = at;
    listedRunning = running;
  }

  /** Whether any listing has shown the machine. */
  public boolean isListed() {
    return listedAt != null;
  }

  /** Whether the last listing that showed the machine said that it is up. */
  public boolean isListedRunning() {
    return listedRunning;
  }

  /** When the machine was last known to exist for the cloud. */
  public SteadyTime lastKnownAt() {
    return listedAt == null ? knownSince : listedAt;
  }

  /** The cloud has given notice that it reclaims the spot machine; the first notice stands. */
  public void reclaimAt(SteadyTime at) {
    if (reclaimAt == null) {
      reclaimAt = at;
    }
  }

  /** When the cloud reclaims the machine, if it has given notice. */
  public Optional<SteadyTime> reclaimAt() {
    return Optional.ofNullable(reclaimAt);
  }

  /** Whether the cloud has given notice that it reclaims the machine. */
  public boolean isReclaimed() {
    return reclaimAt != null;
  }

  /** The release of the machine is being recorded; nothing more is placed on it. */
  public void markReleasing() {
    releasing = true;
  }

  /** Whether the release of the machine was asked for. */
  public boolean isReleasing() {
    return releasing;
  }

  /** The machine is certainly gone: its name never comes back. */
  public void markTerminated() {
    terminated = true;
  }

  /** Whether the machine is certainly gone. */
  public boolean isTerminated() {
    return terminated;
  }

  /** Whether the machine is neither gone nor about to go. */
  public boolean isStaying() {
    return !terminated && !releasing && reclaimAt == null;
  }
}
