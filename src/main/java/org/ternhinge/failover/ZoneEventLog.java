package org.ternhinge.failover;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Authority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.zone.FailoverMetrics;
import org.ternhinge.zone.ZoneEvent;

/**
 * Logs the decisions of zone failover immediately and its metrics periodically. Guarded by the
 * controller's lock.
 */
final class ZoneEventLog {
  /** Named after the coordinator to keep the log format stable for operators. */
  private static final Logger LOG = LoggerFactory.getLogger(ZoneCoordinator.class);

  private static final double METRICS_INTERVAL_S = 60;

  private final Clock clock;
  private final Authority authority;
  private MonotonicTime metricsLoggedAt;

  ZoneEventLog(LeadershipContext context) {
    this.clock = context.services().clock();
    this.authority = context.authority();
    this.metricsLoggedAt = clock.now();
  }

  void log(List<ZoneEvent> events) {
    if (!LOG.isInfoEnabled()) {
      return;
    }
    long wallMillis = clock.wallClockMillis();
    for (ZoneEvent event : events) {
      LOG.info("{} term={} at={}", event.line(), authority.term(), wallMillis);
    }
  }

  void logMetricsIfDue(FailoverMetrics metrics, MonotonicTime now) {
    if (now.secondsSince(metricsLoggedAt) < METRICS_INTERVAL_S) {
      return;
    }
    metricsLoggedAt = now;
    metrics.lines().forEach((tier, line) -> LOG.info("lost to moved ms, tier {}: {}", tier, line));
  }
}
