package org.ternhinge.attempt;

import org.ternhinge.wire.EndReason;

/** What proves that an attempt is over, so that its task may start elsewhere. */
public enum ClosingEvidence {
  /** The cloud lists the machine as failed. */
  MACHINE_FAILED("machine failed"),
  /** The cloud no longer lists the machine. */
  MACHINE_NOT_LISTED("machine taken"),
  /** The machine was released, or is gone for another reason. */
  MACHINE_GONE("machine gone"),
  /** The worker's lease has expired, after which it has killed its tasks. */
  LEASE_EXPIRED("lease over"),
  /** The worker has begun a newer epoch, with none of the tasks of earlier ones. */
  EPOCH_ENDED("agent epoch over"),
  /** An earlier leader's attempt does not show on a worker that refuses that leader's commands. */
  ABSENT_AFTER_FAILOVER("never arrived or is gone"),
  /** The worker has shown the attempt before and no longer does. */
  VANISHED("vanished"),
  /** The attempt was stopped, and no start of it can arrive any more. */
  STOPPED_BEFORE_START("stopped before it started"),
  /** No start of the attempt was ever sent. */
  NEVER_SENT("never sent"),

  /** The worker reports that the task has finished its work. */
  REPORTED_DONE(EndReason.DONE),
  /** The worker reports that the task was stopped. */
  REPORTED_STOPPED(EndReason.STOPPED),
  /** The worker reports that the other tasks of the gang have ended. */
  REPORTED_PEERS(EndReason.PEERS),
  /** The worker reports that the task found no other task of its gang. */
  REPORTED_ALONE(EndReason.ALONE),
  /** The worker reports that the task has failed. */
  REPORTED_ERROR(EndReason.ERROR),
  /** The worker reports that the machine has no room for the task. */
  REPORTED_NO_ROOM(EndReason.NO_ROOM),
  /** The worker reports that it was busy. */
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

  /** The evidence that a worker gives by reporting the end of a task. */
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

  /** Whether the task has finished its work, and so needs no further attempt. */
  public boolean isTaskDone() {
    return this == REPORTED_DONE;
  }

  /** The evidence as the log has it. */
  public String text() {
    return text;
  }
}
