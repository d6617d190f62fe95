package org.ternhinge.election;

import org.ternhinge.config.Tuning;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.store.KeyValueStore;

/**
 * The identity of a process in leader elections and the services that it uses for them.
 *
 * @param node name of the node that the process runs on
 * @param incarnation identifies the process among successive processes of the same node
 * @param lockedExecutor runs all actions under the controller's lock
 */
record Candidate(
    String node,
    String incarnation,
    KeyValueStore store,
    Clock clock,
    Tuning tuning,
    LockedExecutor lockedExecutor) {}
