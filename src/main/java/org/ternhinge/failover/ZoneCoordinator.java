package org.ternhinge.failover;

import java.util.ArrayList;
import java.util.List;
import org.ternhinge.config.Settings;
import org.ternhinge.config.ZoneFailoverSettings;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.TaskFailures;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.zone.ZoneEvent;
import org.ternhinge.zone.ZoneFailover;

/**
 * Connects a leadership to {@link ZoneFailover}: provides observations of machines and jobs, logs
 * decisions and triggers a write of the record when a zone's state changes. Guarded by the
 * controller's lock, except for {@link #filter}.
 */
final class ZoneCoordinator implements ZoneControl {
  private final LeadershipContext context;
  private final MachineRegistry machines;
  private final TaskFailures failures;
  private final List<String> zones;
  private final Clock clock;
  private final RoundTrigger rounds;
  private final ZoneFailover failover;
  private final FleetView fleet;
  private final ZoneRecordStore record;
  private final ZoneEventLog eventLog;

  ZoneCoordinator(
      LeadershipContext context,
      MachineRegistry machines,
      TaskFailures failures,
      ZoneFailoverSettings failoverSettings) {
    this.context = context;
    this.machines = machines;
    this.failures = failures;
    this.zones = context.services().settings().zones();
    this.clock = context.services().clock();
    this.rounds = context.rounds();
    this.failover = failover(context.services().settings(), failoverSettings, clock.now());
    this.fleet = new FleetView(context, machines);
    DisplacedTaskRecovery displacedTasks = new DisplacedTaskRecovery(context, failover);
    this.record = new ZoneRecordStore(context, failover, displacedTasks::recover);
    this.eventLog = new ZoneEventLog(context);
  }

  private static ZoneFailover failover(
      Settings settings, ZoneFailoverSettings failoverSettings, MonotonicTime now) {
    return new ZoneFailover(
        failoverSettings.forHeartbeats(settings.workers().overdueS()),
        settings.zones(),
        settings.workers().leaseS(),
        settings.storeLimits().writeRps(),
        now);
  }

  @Override
  public void recover() {
    record.recover();
  }

  @Override
  public void check(MonotonicTime now) {
    List<ZoneEvent> events = failover.observe(observations(now), now);
    eventLog.log(events);
    for (ZoneEvent event : events) {
      if (event instanceof ZoneEvent.StateChanged) {
        record.markChanged();
      }
    }
    record.writeIfDue();
    if (!events.isEmpty()) {
      rounds.requestRound();
    }
    eventLog.logMetricsIfDue(failover.metrics(), now);
  }

  private FleetObservations observations(MonotonicTime now) {
    return new FleetObservations(
        context, machines, failures, fleet, job -> failover.tierOf(job.plannedSpec()), now);
  }

  @Override
  public void attemptClosed(Attempt attempt, boolean done) {
    Job job = attempt.job();
    if (done || FleetView.isFinished(job) || !isZoneKnown(attempt)) {
      return;
    }
    failover.attemptLost(
        job.plannedSpec(),
        attempt.task().index(),
        attempt.number().value(),
        zones.get(attempt.zone()),
        clock.now());
  }

  /**
   * Whether an attempt's zone is configured; it may have been removed since the attempt was opened.
   */
  private boolean isZoneKnown(Attempt attempt) {
    return attempt.zone() >= 0 && attempt.zone() < zones.size();
  }

  @Override
  public Snapshot filter(Snapshot full) {
    return failover.filter(full);
  }

  @Override
  public Plan limit(Plan plan) {
    if (record.isReadPending()) {
      // The tasks delayed by an earlier leader are not known yet, and would be started out of
      // order.
      return new Plan();
    }
    List<ZoneEvent> events = new ArrayList<>();
    Plan limited = failover.limit(plan, fleet, events, clock.now());
    eventLog.log(events);
    return limited;
  }
}
