package org.ternhinge.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Resources;

/**
 * The description of a job as its user submits it. Immutable.
 *
 * @param id unique id, chosen by the user; a retry of the submission uses the same
 * @param jobClass class of jobs that it belongs to, for which the settings define objectives
 * @param team team whose guarantee and quota apply
 * @param kind whether its tasks are independent, start together, or run until cancelled
 * @param priority priority for preemption and order
 * @param tasks number of tasks, from 1 to {@link #MAX_TASKS}
 * @param taskResources resources of each task, rounded up from {@code cpus}, {@code gpus} and {@code
 *     memoryGb}
 * @param cpus CPUs of each task, as submitted
 * @param gpus accelerators of each task, as submitted
 * @param memoryGb memory of each task in GB, as submitted
 * @param image name of the image that a machine must have before a task can start
 * @param imageGb size of the image in GB
 * @param types allowed machine types; empty allows any
 * @param zone the only allowed zone; empty allows any
 * @param singleZone whether all tasks have to be in the same zone
 * @param spreadAcrossZones whether at most half of the tasks, rounded up, may be in one zone
 * @param spotAllowed whether tasks may run on spot machines
 * @param estimateS the user's estimate of a task's run time in seconds, without the fetch of its
 *     image; often wrong, and 0 for services
 * @param checkpointIntervalS seconds of progress between two checkpoints of a task; 0 for a task
 *     that never saves a checkpoint
 * @param checkpointSaveS seconds that a task needs to save a checkpoint when it is stopped
 * @param deadlineS seconds from the submission until the job should be complete; empty for none
 * @param dependencies jobs that have to be done before any task of this job starts, without
 *     duplicates, in the order of the submission
 */
public record JobSpec(
    JobId id,
    String jobClass,
    String team,
    JobKind kind,
    Priority priority,
    int tasks,
    Resources taskResources,
    double cpus,
    double gpus,
    double memoryGb,
    String image,
    double imageGb,
    List<String> types,
    Optional<String> zone,
    boolean singleZone,
    boolean spreadAcrossZones,
    boolean spotAllowed,
    double estimateS,
    double checkpointIntervalS,
    double checkpointSaveS,
    OptionalDouble deadlineS,
    List<JobId> dependencies) {

  /** Most tasks of a job. */
  public static final int MAX_TASKS = 100_000;

  /**
   * Reads only the id of a submission, which may be valid although the rest is malformed.
   *
   * @throws WireException when the body is not an object with a valid id
   */
  public static JobId readId(JsonNode body) throws WireException {
    return JobSpecJson.readId(body);
  }

  /**
   * Reads a submission.
   *
   * @throws WireException naming the field that is missing or invalid
   */
  public static JobSpec read(JsonNode body) throws WireException {
    return JobSpecJson.read(body);
  }

  /**
   * Reads only the dependencies of a submission that was validated when the job was accepted;
   * nothing is checked again.
   */
  public static List<JobId> dependenciesOf(JsonNode body) {
    List<JobId> out = new ArrayList<>();
    body.path(JobSpecJson.DEPENDENCIES).forEach(id -> out.add(new JobId(id.asText())));
    return out;
  }

  /** Whether a submission is of a service, without reading all of it. */
  public static boolean isService(JsonNode body) {
    return body.path(JobSpecJson.KIND).asText().equals(JobKind.SERVICE.wireName());
  }

  /** The submission as JSON. */
  public ObjectNode write() {
    return JobSpecJson.write(this);
  }

  /** This job with another priority: one that others depend on is scheduled with theirs. */
  public JobSpec withPriority(Priority other) {
    return with(other, tasks);
  }

  /** This job with another number of tasks, to reserve capacity for that many. */
  public JobSpec withTasks(int otherTasks) {
    return with(priority, otherTasks);
  }

  private JobSpec with(Priority otherPriority, int otherTasks) {
    return new JobSpec(
        id,
        jobClass,
        team,
        kind,
        otherPriority,
        otherTasks,
        taskResources,
        cpus,
        gpus,
        memoryGb,
        image,
        imageGb,
        types,
        zone,
        singleZone,
        spreadAcrossZones,
        spotAllowed,
        estimateS,
        checkpointIntervalS,
        checkpointSaveS,
        deadlineS,
        dependencies);
  }

  /** Whether all tasks have to run at the same time. */
  public boolean isGang() {
    return kind == JobKind.GANG;
  }

  /** Whether the tasks run until the job is cancelled. */
  public boolean isService() {
    return kind == JobKind.SERVICE;
  }

  /** The most tasks that may be in one zone at the same time. */
  public int maxTasksPerZone() {
    return spreadAcrossZones ? (tasks + 1) / 2 : tasks;
  }

  /** Whether tasks may run on machines of a type. */
  public boolean allowsType(String type) {
    return types.isEmpty() || types.contains(type);
  }

  /** Whether tasks may run in a zone, as far as this job alone decides. */
  public boolean allowsZone(String name) {
    return zone.isEmpty() || zone.get().equals(name);
  }
}
