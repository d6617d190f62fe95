package org.ternhinge.controller;

/** The kinds of seeded faults that a test's day may have. */
enum FaultKind {
  /** No fault but the losses of the network. */
  NONE,
  /** Controller processes end and come back. */
  CONTROLLER_CRASHES,
  /** Controllers lose workers or the key-value store, machines are cut off or end. */
  CONNECTION_CUTS,
  /** The key-value store refuses everybody for a while. */
  STORE_OUTAGES,
  /** Machines' heartbeats arrive, while neither answers nor commands reach them. */
  LOST_COMMANDS,
  /** Heartbeats arrive once more, late. */
  HEARTBEAT_COPIES,
  /** Controllers reach their workers only, neither the key-value store nor each other. */
  ISOLATED_CONTROLLERS,
  /** All kinds before this one. */
  BASIC,
  /** Transactions without an answer are carried out seconds later. */
  LATE_WRITES,
  /** Machines' heartbeats are lost, while commands reach them. */
  LOST_HEARTBEATS,
  /** Machines execute nothing for a while. */
  MACHINE_HANGS,
  /** The key-value store answers slowly. */
  SLOW_STORE,
  /** Heartbeats are delayed and reach the leader of a later time. */
  DELAYED_HEARTBEATS,
  /** A zone with its controllers is cut off. */
  ZONE_CUTS,
  /** The key-value store refuses one leader after another. */
  REFUSED_LEADERS,
  /** Users send invalid requests, and cancel jobs at the very end of their last task. */
  INVALID_REQUESTS,
  /** All kinds before this one, several at a time. */
  COMBINED,
  /** The zones can't reach each other, while both reach the key-value store and users. */
  PARTITIONED_ZONES;

  /** Whether a day of this kind has basic faults of another kind. */
  boolean includesBasic(FaultKind other) {
    return this == other || this == BASIC;
  }

  /** Whether a day of this kind has faults of another kind, other than basic ones. */
  boolean includes(FaultKind other) {
    return this == other || this == COMBINED;
  }
}
