package org.ternhinge.sim;

import org.ternhinge.model.SteadyTime;

/** The links of one machine: which messages to and from it are lost at present. */
final class MachineLinks {
  private final SimClock clock;
  private SteadyTime cutUntil;
  private SteadyTime inboundLostUntil;
  private SteadyTime heartbeatsLostUntil;

  /** Creates links that lose nothing. */
  MachineLinks(SimClock clock) {
    this.clock = clock;
    this.cutUntil = clock.now();
    this.inboundLostUntil = clock.now();
    this.heartbeatsLostUntil = clock.now();
  }

  /** For so many seconds nothing passes in either direction. */
  void isolate(double seconds) {
    isolateUntil(in(seconds));
  }

  /** Until a time nothing passes in either direction. */
  void isolateUntil(SteadyTime end) {
    cutUntil = end;
  }

  /** For so many seconds heartbeats arrive, but neither answers nor commands reach the machine. */
  void dropInbound(double seconds) {
    inboundLostUntil = in(seconds);
  }

  /** For so many seconds heartbeats reach no controller, while commands reach the machine. */
  void dropHeartbeats(double seconds) {
    heartbeatsLostUntil = in(seconds);
  }

  boolean isIsolated() {
    return lasts(cutUntil);
  }

  boolean dropsInbound() {
    return lasts(inboundLostUntil);
  }

  boolean dropsHeartbeats() {
    return lasts(heartbeatsLostUntil);
  }

  /** Whether no message is lost in any direction. */
  boolean areHealthy() {
    return !isIsolated() && !dropsInbound() && !dropsHeartbeats();
  }

  private SteadyTime in(double seconds) {
    return clock.now().plusSeconds(seconds);
  }

  private boolean lasts(SteadyTime until) {
    return clock.now().isBefore(until);
  }
}
