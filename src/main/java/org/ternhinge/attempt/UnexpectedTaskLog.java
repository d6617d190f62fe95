package org.ternhinge.attempt;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Authority;
import org.ternhinge.machine.Machine;
import org.ternhinge.metrics.WorkerCommandMetrics;
import org.ternhinge.model.EventLine;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.TaskStatus;

/**
 * Logs and counts reported tasks that have neither ended nor an open attempt. Such a task may be
 * running in two places, so each report of one is worth a line. Guarded by the controller's lock.
 */
public final class UnexpectedTaskLog {
  private static final Logger LOG = LoggerFactory.getLogger(UnexpectedTaskLog.class);

  private final Authority authority;
  private final WorkerCommandMetrics metrics;

  /** Creates a log for the reports to one leadership. */
  public UnexpectedTaskLog(LeadershipContext context) {
    this.authority = context.authority();
    this.metrics = context.services().metrics().workerCommands();
  }

  /** Records that a machine reports a task which is to be stopped. */
  public void record(Machine machine, TaskStatus task) {
    metrics.count(WorkerCommandMetrics.Event.UNEXPECTED_TASK);
    LOG.info(
        "{}",
        EventLine.of("unexpected-task", "stopped")
            .with("task", task.task())
            .with("attempt", task.attempt())
            .with("state", task.state())
            .with("machine", machine.id())
            .with("epoch", machine.agent().epoch())
            .with("token", machine.agent().fencingToken())
            .with("term", authority.term()));
  }
}
