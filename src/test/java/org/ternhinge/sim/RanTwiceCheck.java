package org.ternhinge.sim;

/** Rule {@code ran_twice}: a task never starts on a machine while it is on another one. */
final class RanTwiceCheck implements TaskObserver {
  private final RuleViolations violations;

  RanTwiceCheck(RuleViolations violations) {
    this.violations = violations;
  }

  @Override
  public void started(Start start) {
    if (!start.alreadyOn().isEmpty()) {
      violations.add(
          "ran_twice: "
              + start.task()
              + " on "
              + start.machine().id()
              + " while on "
              + start.alreadyOn());
    }
  }
}
