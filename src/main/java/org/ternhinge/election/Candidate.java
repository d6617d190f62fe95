package org.ternhinge.election;

import org.ternhinge.config.Tuning;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.store.KeyValueStore;

/**
 * A process that stands for election, and what it needs for that.
 *
 * @param node the name of its node
 * @param incarnation tells it from other processes of the same node
 * @param locked runs all actions under the controller's lock
 */
record Candidate(
    String node,
    String incarnation,
    KeyValueStore store,
    Clock clock,
    Tuning tuning,
    LockedExecutor locked) {}
