package org.ternhinge.ledger;

import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.Session;

/** What admission needs to know of the machine that an attempt is to open on. */
public record MachineAttributes(
    MachineId machine,
    Session session,
    String type,
    int zone,
    String zoneName,
    boolean spot,
    Resources capacity) {}
