package org.ternhinge.term;

import java.util.concurrent.Executor;
import java.util.concurrent.locks.Lock;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.Clock;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.worker.Workers;

/**
 * The services that a controller is built on. They live as long as the process and so outlast every
 * leadership.
 *
 * @param settings what the site's configuration says
 * @param tuning intervals and margins of this controller
 * @param store client of the key-value store
 * @param cloud client of the cloud that provisions machines out
 * @param workers client of the workers' command endpoints
 * @param clock source of time and of timers
 * @param lock guards all shared state of the controller
 * @param scheduler runs scheduling rounds, which take too long for a network thread
 * @param metrics counters of this process
 */
public record ControllerServices(
    Settings settings,
    Tuning tuning,
    KeyValueStore store,
    Cloud cloud,
    Workers workers,
    Clock clock,
    Lock lock,
    Executor scheduler,
    Metrics metrics) {}
