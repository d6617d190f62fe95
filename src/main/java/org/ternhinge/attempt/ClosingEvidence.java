package org.ternhinge.attempt;

import org.ternhinge.wire.EndReason;

/** Evidence that an attempt has ended, so that its task may be started elsewhere. */
public enum ClosingEvidence {
  /** The cloud lists the machine as failed. */
  MACHINE_FAILED("machine failed"),
  /** The cloud no longer lists the machine. */
  MACHINE_NOT_LISTED("machine not listed"),
  /** The machine was released or no longer exists for another reason. */
  MACHINE_REMOVED("machine removed"),
  /** The worker's lease has expired, so the worker has killed its tasks. */
  LEASE_EXPIRED("lease expired"),
  /** The worker has begun a newer epoch, in which no tasks of earlier epochs run. */
  EPOCH_ENDED("agent epoch ended"),
  /**
   * An earlier leader opened the attempt, and a worker that rejects that leader's commands does not
   * report it.
   */
  ABSENT_AFTER_FAILOVER("not reported after failover"),
  /** The worker has reported the attempt before and no longer does. */
  NO_LONGER_REPORTED("no longer reported"),
  /** The attempt was stopped, and none of its start commands can still arrive. */
  STOPPED_BEFORE_START("stopped before start"),
  /** No start command for the attempt was ever sent. */
  NEVER_SENT("start never sent"),

  /** The worker reports that the task completed successfully. */
  REPORTED_DONE(EndReason.DONE),
  /** The worker reports that the task was stopped. */
  REPORTED_STOPPED(EndReason.STOPPED),
  /** The worker reports that the other tasks of the gang have ended. */
  REPORTED_PEERS(EndReason.PEERS),
  /** The worker reports that the gang of the task was not complete in time. */
  REPORTED_ALONE(EndReason.ALONE),
  /** The worker reports that the task has failed. */
  REPORTED_ERROR(EndReason.ERROR),
  /** The worker reports that the machine has no room for the task. */
  REPORTED_NO_ROOM(EndReason.NO_ROOM),
  /** The worker reports that the machine already has another attempt of the task. */
  REPORTED_BUSY(EndReason.BUSY),
  /** The worker reports that it does not know the job. */
  REPORTED_UNKNOWN(EndReason.UNKNOWN);

  private final String text;

  ClosingEvidence(String text) {
    this.text = text;
  }

  ClosingEvidence(EndReason reported) {
    this.text = reported.wireName();
  }

  /** Returns the evidence for an end that the worker reports. */
  public static ClosingEvidence reported(EndReason reason) {
    return switch (reason) {
      case DONE -> REPORTED_DONE;
      case STOPPED -> REPORTED_STOPPED;
      case PEERS -> REPORTED_PEERS;
      case ALONE -> REPORTED_ALONE;
      case ERROR -> REPORTED_ERROR;
      case NO_ROOM -> REPORTED_NO_ROOM;
      case BUSY -> REPORTED_BUSY;
      case UNKNOWN -> REPORTED_UNKNOWN;
    };
  }

  /** Whether the task completed successfully and needs no further attempt. */
  public boolean isTaskDone() {
    return this == REPORTED_DONE;
  }

  /** Whether the attempt never started and no start of it can be executed any more. */
  public boolean isStartExcluded() {
    return this == STOPPED_BEFORE_START || this == NEVER_SENT;
  }

  /** Returns the description for the log. */
  public String text() {
    return text;
  }
}
