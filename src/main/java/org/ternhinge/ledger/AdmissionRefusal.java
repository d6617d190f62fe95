package org.ternhinge.ledger;

/** Why tasks may not be started as a plan asks. */
public enum AdmissionRefusal {
  NOTHING_TO_PLACE("nothing to place"),
  JOB_OVER("job is over"),
  WAITS_FOR_JOBS("waits for other jobs"),
  GANG_INCOMPLETE("a gang starts whole, after every task of its last attempt is gone"),
  UNKNOWN_TEAM("unknown team"),
  NO_SUCH_TASK("no such task"),
  TASK_DONE("task is done"),
  TASK_OPEN("task has an open attempt"),
  TASK_STILL_SHOWN("task still shows on a machine"),
  MACHINE_NOT_PERMITTED("job does not permit this machine"),
  ZONE_LIMIT("too many tasks in one zone"),
  SEVERAL_ZONES("tasks in several zones"),
  MACHINE_FULL("no room on the machine"),
  TEAM_LIMIT("team limit"),
  RECORD_FULL("no room in the record");

  private final String description;

  AdmissionRefusal(String description) {
    this.description = description;
  }

  /** The reason in words, for logs. */
  @Override
  public String toString() {
    return description;
  }
}
