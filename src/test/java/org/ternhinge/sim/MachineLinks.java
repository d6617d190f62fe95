package org.ternhinge.sim;

import org.ternhinge.model.MonotonicTime;

/** The network links of one machine: which messages to and from it are currently lost. */
final class MachineLinks {
  private final SimClock clock;
  private MonotonicTime isolatedUntil;
  private MonotonicTime inboundDroppedUntil;
  private MonotonicTime heartbeatsDroppedUntil;

  /** Creates links that lose nothing. */
  MachineLinks(SimClock clock) {
    this.clock = clock;
    this.isolatedUntil = clock.now();
    this.inboundDroppedUntil = clock.now();
    this.heartbeatsDroppedUntil = clock.now();
  }

  /** Drops all messages in both directions for the given number of seconds. */
  void isolate(double seconds) {
    isolateUntil(fromNow(seconds));
  }

  /** Drops all messages in both directions until the given time. */
  void isolateUntil(MonotonicTime end) {
    isolatedUntil = end;
  }

  /**
   * Drops responses and commands to the machine for the given number of seconds, while its
   * heartbeats arrive.
   */
  void dropInbound(double seconds) {
    inboundDroppedUntil = fromNow(seconds);
  }

  /** Drops heartbeats for the given number of seconds, while commands reach the machine. */
  void dropHeartbeats(double seconds) {
    heartbeatsDroppedUntil = fromNow(seconds);
  }

  boolean isIsolated() {
    return isActive(isolatedUntil);
  }

  boolean dropsInbound() {
    return isActive(inboundDroppedUntil);
  }

  boolean dropsHeartbeats() {
    return isActive(heartbeatsDroppedUntil);
  }

  /** Whether no messages are lost in either direction. */
  boolean areHealthy() {
    return !isIsolated() && !dropsInbound() && !dropsHeartbeats();
  }

  private MonotonicTime fromNow(double seconds) {
    return clock.now().plusSeconds(seconds);
  }

  private boolean isActive(MonotonicTime until) {
    return clock.now().isBefore(until);
  }
}
