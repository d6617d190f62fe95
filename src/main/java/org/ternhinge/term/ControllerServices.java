package org.ternhinge.term;

import java.util.concurrent.Executor;
import java.util.concurrent.locks.Lock;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.config.Settings;
import org.ternhinge.config.Tuning;
import org.ternhinge.metrics.Metrics;
import org.ternhinge.model.Clock;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.worker.WorkerClient;

/**
 * The services of one controller process. They are created once and live as long as the process,
 * across leaderships.
 *
 * @param settings the configuration of the site
 * @param tuning intervals and margins of this controller, in seconds
 * @param store client of the key-value store; safe for use by several threads
 * @param cloud client of the cloud that provisions and releases machines
 * @param workers client of the workers' command endpoints
 * @param clock source of time and of timers; timers run without the lock
 * @param lock guards all shared state of the controller
 * @param scheduler runs scheduling rounds, which take too long for a network thread
 * @param metrics counters of this process
 */
public record ControllerServices(
    Settings settings,
    Tuning tuning,
    KeyValueStore store,
    Cloud cloud,
    WorkerClient workers,
    Clock clock,
    Lock lock,
    Executor scheduler,
    Metrics metrics) {}
