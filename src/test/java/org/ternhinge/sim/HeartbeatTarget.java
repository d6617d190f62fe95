package org.ternhinge.sim;

/** The controller to which a worker sends its heartbeats, and how responses change it. */
final class HeartbeatTarget {
  private static final double NEXT_NODE_S = 1;
  private static final double REDIRECT_S = 0.2;

  private final int controllers;
  private int controller;

  HeartbeatTarget(int controllers, int first) {
    this.controllers = controllers;
    this.controller = first;
  }

  int controller() {
    return controller;
  }

  /** Switches to the next controller and returns the delay of the next heartbeat in seconds. */
  double switchToNext() {
    controller = (controller + 1) % controllers;
    return NEXT_NODE_S;
  }

  /**
   * Switches to the controller that a redirect names and returns the delay of the next heartbeat in
   * seconds.
   */
  double followRedirect(byte[] redirect) {
    int named = HeartbeatResponses.redirectedTo(redirect).orElse(controller);
    if (named == controller) {
      return switchToNext();
    }
    controller = named;
    return REDIRECT_S;
  }
}
