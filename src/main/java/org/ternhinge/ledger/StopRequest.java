package org.ternhinge.ledger;

import org.ternhinge.model.MonotonicTime;

/**
 * The request to stop an attempt.
 *
 * @param graceS seconds that the task has for a checkpoint from when it receives the stop
 * @param at when the request was made
 */
public record StopRequest(double graceS, MonotonicTime at) {}
