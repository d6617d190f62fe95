package org.ternhinge.round;

import org.ternhinge.machine.BootTimes;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.machine.ReportedTasks;
import org.ternhinge.machine.TaskFailures;

/**
 * The machine state of one leadership that scheduling rounds read. Guarded by the controller's
 * lock.
 *
 * @param machines all machines
 * @param machineTypes the machine types that the cloud offers
 * @param failures task failures by machine and by job
 * @param bootTimes measured and expected boot times
 * @param reportedTasks the tasks that machines report
 */
public record FleetState(
    MachineRegistry machines,
    MachineTypeCatalog machineTypes,
    TaskFailures failures,
    BootTimes bootTimes,
    ReportedTasks reportedTasks) {}
