package org.ternhinge.controller;

/** Receives changes of this node's leadership. */
@FunctionalInterface
public interface LeadershipListener {
  /**
   * Called when this node has gained or lost leadership, under the controller's lock, before the
   * leadership starts or is stopped.
   */
  void leadershipChanged(boolean leading);
}
