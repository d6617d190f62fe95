package org.ternhinge.ledger;

import org.ternhinge.model.MonotonicTime;

/**
 * A request to stop an attempt.
 *
 * @param graceS seconds for a checkpoint, counted from when the task receives the stop command
 * @param requestedAt when the request was made
 */
public record StopRequest(double graceS, MonotonicTime requestedAt) {}
