package org.ternhinge.schedule;

import org.ternhinge.model.Resources;

/** The requirements of one task of a job: its resource request and its constraints. */
record TaskShape(Resources need, PlacementConstraints constraints) {}
