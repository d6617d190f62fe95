package org.ternhinge.controller;

/** Receives changes of this node's leadership. */
@FunctionalInterface
public interface LeadershipListener {
  /**
   * This node has begun to lead, or has ceased to. Called under the controller's lock, before the
   * leadership starts or is stopped.
   */
  void leadershipChanged(boolean leading);
}
