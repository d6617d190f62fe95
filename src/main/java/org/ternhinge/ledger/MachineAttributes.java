package org.ternhinge.ledger;

import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;

/**
 * What admission needs to know of the machine that an attempt is to open on.
 *
 * @param epoch the worker's current run on the machine
 * @param type name of the machine type in the settings
 * @param zone index of the zone in the settings, which records name it by
 * @param zoneName name of the zone, which jobs ask for it by
 * @param spot whether the cloud may take the machine back at any time
 * @param capacity all that the machine offers to tasks, free or not
 */
public record MachineAttributes(
    MachineId machine,
    AgentEpoch epoch,
    String type,
    int zone,
    String zoneName,
    boolean spot,
    Resources capacity) {}
