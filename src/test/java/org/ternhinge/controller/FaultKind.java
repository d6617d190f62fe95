package org.ternhinge.controller;

/** The kinds of faults that a seeded simulation run may inject. */
enum FaultKind {
  /** No fault other than message loss. */
  NONE,
  /** Controller processes crash and restart. */
  CONTROLLER_CRASHES,
  /**
   * Controllers lose contact with workers or the key-value store; machines are cut off or
   * terminate.
   */
  CONNECTION_CUTS,
  /** The key-value store refuses all clients for a while. */
  STORE_OUTAGES,
  /** Heartbeats of some machines arrive, but neither answers nor commands reach those machines. */
  LOST_COMMANDS,
  /** Heartbeats are duplicated, and the duplicate arrives late. */
  DUPLICATE_HEARTBEATS,
  /** Controllers reach only their workers, neither the key-value store nor each other. */
  ISOLATED_CONTROLLERS,
  /** All kinds before this one. */
  BASIC,
  /** Transactions that were not answered are applied seconds later. */
  LATE_WRITES,
  /** Heartbeats of some machines are lost, while commands reach those machines. */
  LOST_HEARTBEATS,
  /** Machines hang: they process nothing for a while. */
  MACHINE_HANGS,
  /** The key-value store answers slowly. */
  SLOW_STORE,
  /** Heartbeats are delayed and may reach a later leader. */
  DELAYED_HEARTBEATS,
  /** A zone is cut off together with its controllers. */
  ZONE_CUTS,
  /** The key-value store refuses each of several successive leaders. */
  REFUSED_LEADERS,
  /** Users send invalid requests, and cancel jobs just as their last task ends. */
  INVALID_REQUESTS,
  /** All kinds before this one, several of them at the same time. */
  COMBINED,
  /** The zones can't reach each other, while both can reach the key-value store and users. */
  PARTITIONED_ZONES;

  /** Whether a run of this kind includes another kind of basic fault. */
  boolean includesBasic(FaultKind other) {
    return this == other || this == BASIC;
  }

  /** Whether a run of this kind includes another kind of fault that is not basic. */
  boolean includes(FaultKind other) {
    return this == other || this == COMBINED;
  }
}
