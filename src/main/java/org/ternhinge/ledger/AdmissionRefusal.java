package org.ternhinge.ledger;

/** Reason why planned placements are not admitted. */
public enum AdmissionRefusal {
  NOTHING_TO_PLACE("no placements"),
  JOB_NOT_ACTIVE("job is cancelled or finished"),
  UNMET_DEPENDENCIES("job has unmet dependencies"),
  GANG_INCOMPLETE("gang must start with all tasks and without open attempts"),
  UNKNOWN_TEAM("unknown team"),
  NO_SUCH_TASK("task index is invalid or repeated"),
  TASK_DONE("task is done"),
  TASK_OPEN("task has an open attempt"),
  TASK_STILL_REPORTED("task is still reported by a machine"),
  MACHINE_NOT_PERMITTED("job does not permit this machine"),
  ZONE_LIMIT("too many tasks in one zone"),
  SEVERAL_ZONES("tasks of a single-zone job are placed in several zones"),
  MACHINE_FULL("insufficient free resources on the machine"),
  TEAM_LIMIT("team limit exceeded"),
  RECORD_FULL("job record is full");

  private final String description;

  AdmissionRefusal(String description) {
    this.description = description;
  }

  /** Returns a description for log messages. */
  @Override
  public String toString() {
    return description;
  }
}
