package org.ternhinge.sim;

import java.util.HashMap;
import java.util.Map;
import org.ternhinge.config.Team;
import org.ternhinge.model.Resources;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.JobSpec;

/** Rule {@code quota}: the running tasks of a team never exceed its limit. */
final class QuotaCheck implements TaskObserver {
  private final RuleViolations violations;
  private final Map<String, Team> teams;
  private final Map<String, Resources> used = new HashMap<>();

  QuotaCheck(RuleViolations violations, Map<String, Team> teams) {
    this.violations = violations;
    this.teams = teams;
  }

  @Override
  public void started(Start start) {
    JobSpec spec = start.spec();
    Resources sum = used.merge(spec.team(), spec.taskResources(), Resources::plus);
    if (!within(teams.get(spec.team()), sum)) {
      violations.add("quota: " + spec.team() + " uses " + sum);
    }
  }

  @Override
  public void left(SimWorker machine, TaskId task, JobSpec spec) {
    used.computeIfPresent(spec.team(), (team, sum) -> sum.minus(spec.taskResources()));
  }

  /** Whether the limit of a job's team permits the given number of additional tasks. */
  boolean hasRoomFor(JobSpec spec, int tasks) {
    Resources sum = used.getOrDefault(spec.team(), Resources.ofCapacity(0, 0, 0));
    return within(teams.get(spec.team()), sum.plus(spec.taskResources().times(tasks)));
  }

  private static boolean within(Team team, Resources sum) {
    return sum.cpus() <= team.cpusMax() && (team.gpusMax() <= 0 || sum.gpus() <= team.gpusMax());
  }
}
