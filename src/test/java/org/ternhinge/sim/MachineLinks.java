package org.ternhinge.sim;

import org.ternhinge.model.MonotonicTime;

/** The links of one machine: which messages to and from it are lost at present. */
final class MachineLinks {
  private final SimClock clock;
  private MonotonicTime cutUntil;
  private MonotonicTime inboundLostUntil;
  private MonotonicTime heartbeatsLostUntil;

  /** Creates links that lose nothing. */
  MachineLinks(SimClock clock) {
    this.clock = clock;
    this.cutUntil = clock.now();
    this.inboundLostUntil = clock.now();
    this.heartbeatsLostUntil = clock.now();
  }

  /** For so many seconds nothing passes in either direction. */
  void cut(double seconds) {
    cutUntil(in(seconds));
  }

  /** Until a time nothing passes in either direction. */
  void cutUntil(MonotonicTime end) {
    cutUntil = end;
  }

  /** For so many seconds heartbeats arrive, but neither answers nor commands reach the machine. */
  void loseInbound(double seconds) {
    inboundLostUntil = in(seconds);
  }

  /** For so many seconds heartbeats reach no controller, while commands reach the machine. */
  void loseHeartbeats(double seconds) {
    heartbeatsLostUntil = in(seconds);
  }

  boolean isCut() {
    return lasts(cutUntil);
  }

  boolean losesInbound() {
    return lasts(inboundLostUntil);
  }

  boolean losesHeartbeats() {
    return lasts(heartbeatsLostUntil);
  }

  /** Whether no message is lost in any direction. */
  boolean areWhole() {
    return !isCut() && !losesInbound() && !losesHeartbeats();
  }

  private MonotonicTime in(double seconds) {
    return clock.now().plusSeconds(seconds);
  }

  private boolean lasts(MonotonicTime until) {
    return clock.now().isBefore(until);
  }
}
