package org.ternhinge.round;

import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Ledger;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.Clock;
import org.ternhinge.model.MonotonicTime;

/**
 * Periodically writes one line for each machine to the debug log, with its state and the attempts
 * on it. Does nothing if debug logging is off. Guarded by the controller's lock.
 */
public final class FleetLog {
  private static final Logger LOG = LoggerFactory.getLogger(FleetLog.class);

  /** Interval between two logs of the fleet, in seconds. */
  private static final double INTERVAL_S = 20;

  private final Clock clock;
  private final Ledger ledger;
  private final MachineRegistry machines;
  private final SnapshotBuilder snapshots;
  private MonotonicTime lastLogged;

  /** Creates the log of one leadership. */
  public FleetLog(Clock clock, Ledger ledger, MachineRegistry machines, SnapshotBuilder snapshots) {
    this.clock = clock;
    this.ledger = ledger;
    this.machines = machines;
    this.snapshots = snapshots;
    this.lastLogged = clock.now();
  }

  /** Logs the fleet if the interval since the last log has elapsed. */
  public void logIfDue() {
    MonotonicTime now = clock.now();
    if (LOG.isDebugEnabled() && now.secondsSince(lastLogged) >= INTERVAL_S) {
      lastLogged = now;
      machines.all().forEach(machine -> log(machine, now));
    }
  }

  private void log(Machine machine, MonotonicTime now) {
    Map<String, Integer> attemptsByClass = new TreeMap<>();
    for (Attempt attempt : ledger.attemptsOn(machine.id())) {
      attemptsByClass.merge(
          attempt.job().spec().jobClass() + " " + attempt.state(), 1, Integer::sum);
    }
    LOG.debug(
        "fleet {} {} {}{} {} {}{}{}",
        machine.id(),
        machine.description().typeName(),
        machine.description().zoneName(),
        machine.description().spot() ? " spot" : "",
        attemptsByClass,
        machine.agent().hasReported() ? "" : "booting ",
        machine.cloud().isReleasing() ? "releasing " : "",
        snapshots.isPlaceable(machine, now) ? "" : "closed");
  }
}
