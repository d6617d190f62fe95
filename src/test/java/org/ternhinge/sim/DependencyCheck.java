package org.ternhinge.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Function;
import org.ternhinge.model.JobId;
import org.ternhinge.store.Change;
import org.ternhinge.wire.Command;

/**
 * Rule {@code too_early}: no task starts, and no start is recorded or sent, before all jobs that
 * its job depends on are done.
 */
public final class DependencyCheck implements TaskObserver {
  private final RuleViolations violations;
  private final JobCatalog jobs;
  private final Function<String, JsonNode> stored;

  /**
   * Creates the check.
   *
   * @param stored reads the value of a key in the key-value store, or null
   */
  public DependencyCheck(
      RuleViolations violations, JobCatalog jobs, Function<String, JsonNode> stored) {
    this.violations = violations;
    this.jobs = jobs;
    this.stored = stored;
  }

  @Override
  public void started(Start start) {
    JobId missing = jobs.unfinishedDependency(start.task().job());
    if (missing != null) {
      violations.add("too_early: " + start.task() + " before " + missing + " was done");
    }
  }

  /** Checks commands that a controller sends. */
  void sent(List<Command> commands) {
    for (Command command : commands) {
      if (command.op() != Command.Op.START) {
        continue;
      }
      JobId missing = jobs.unfinishedDependency(command.task().job());
      if (missing != null) {
        violations.add(
            "too_early: start of " + command.task() + " sent before " + missing + " was done");
      }
    }
  }

  /**
   * Checks a change that was applied. No start may be recorded before the key-value store holds the
   * end records of all dependencies, since a later leader could not see those ends otherwise.
   */
  void changed(Change change) {
    if (!(change instanceof Change.Put put) || put.value().path("o").isEmpty()) {
      return;
    }
    for (JsonNode name : put.value().path("s").path("bidur_eftir")) {
      JsonNode end = stored.apply("f/" + name.asText());
      if (end == null || !end.path("s").asText().equals("done")) {
        violations.add(
            "too_early: " + put.key() + " starts before the end of " + name + " is durable");
      }
    }
  }
}
