package org.ternhinge.ledger;

import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;

/**
 * Attributes of a machine that are needed to admit and open an attempt on it.
 *
 * @param epoch epoch of the agent that currently runs on the machine
 * @param type name of the machine type
 * @param zone index of the zone in the settings, as stored in records
 * @param zoneName name of the zone, as requested by jobs
 * @param spot whether the cloud may reclaim the machine at any time
 * @param capacity total resources for tasks, whether free or used
 */
public record MachineAttributes(
    MachineId id,
    AgentEpoch epoch,
    String type,
    int zone,
    String zoneName,
    boolean spot,
    Resources capacity) {}
