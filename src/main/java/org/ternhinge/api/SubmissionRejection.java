package org.ternhinge.api;

/** Reason for which a submitted job is rejected because it could never run. */
public enum SubmissionRejection {
  UNKNOWN_TEAM("unknown team"),
  NO_MACHINE_TYPE("a task fits no machine type that the job allows"),
  ABOVE_TEAM_LIMIT("needs more than the team's limit"),
  DEPENDS_ON_ITSELF("the job waits for itself"),
  DESCRIPTION_TOO_LONG("the job's description is too long"),
  SCATTERED_IN_ONE_ZONE("scattered tasks don't fit in one zone"),
  TOGETHER_AND_SCATTERED("tasks can't be both together and scattered");

  private final String message;

  SubmissionRejection(String message) {
    this.message = message;
  }

  /** Returns the error message for the user. */
  public String message() {
    return message;
  }
}
