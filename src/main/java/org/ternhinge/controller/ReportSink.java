package org.ternhinge.controller;

import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.WorkerReport;

/** Takes in what a worker says of itself, wherever it was said. */
@FunctionalInterface
interface ReportSink {
  /**
   * Applies a message of a worker, under the controller's lock.
   *
   * @param isReport whether the worker sent it by itself, rather than in answer to a command
   * @return false if a newer message was already known
   */
  boolean take(Machine machine, WorkerReport report, boolean isReport, SteadyTime now);
}
