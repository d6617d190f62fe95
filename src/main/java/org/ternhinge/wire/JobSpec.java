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
 * @param id unique id, chosen by the user; retries of the submission use the same id
 * @param jobClass job class, for which the settings define service objectives
 * @param team team whose guarantee and quota apply
 * @param kind scheduling model of its tasks
 * @param priority priority for preemption and queue order
 * @param tasks number of tasks, from 1 to {@link #MAX_TASKS}
 * @param taskResources resource request of each task, rounded up from {@code cpus}, {@code gpus}
 *     and {@code memoryGb}
 * @param cpus CPUs of each task, as submitted
 * @param gpus accelerators of each task, as submitted
 * @param memoryGb memory of each task in GB, as submitted
 * @param image name of the image, which a machine fetches before it starts a task
 * @param imageGb size of the image in GB
 * @param types allowed machine types; empty allows any
 * @param zone the only allowed zone; empty allows any
 * @param singleZone whether all tasks must run in the same zone
 * @param spreadAcrossZones whether each zone may run at most half of the tasks, rounded up
 * @param spotAllowed whether tasks may run on spot machines
 * @param estimateS the user's estimate of a task's run time in seconds, excluding the image fetch;
 *     often inaccurate, and 0 for services
 * @param checkpointIntervalS seconds of progress between two checkpoints of a task; 0 if it saves
 *     no checkpoints
 * @param checkpointSaveS time in seconds to save a checkpoint when a task is stopped
 * @param deadlineS deadline in seconds after the submission; empty for none
 * @param dependencies jobs that must be done before any task of this job starts, without
 *     duplicates, in submission order
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

  /** Maximum number of tasks of a job. */
  public static final int MAX_TASKS = 100_000;

  /**
   * Reads only the id of a submission, which may be valid even if other fields are not.
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
   * Reads only the dependencies of a stored submission, without validation: it was validated when
   * the job was accepted.
   */
  public static List<JobId> dependenciesOf(JsonNode body) {
    List<JobId> out = new ArrayList<>();
    body.path(JobSpecJson.DEPENDENCIES).forEach(id -> out.add(new JobId(id.asText())));
    return out;
  }

  /** Whether a submission describes a service; reads only the kind of the job. */
  public static boolean isService(JsonNode body) {
    return body.path(JobSpecJson.KIND).asText().equals(JobKind.SERVICE.wireName());
  }

  /** Converts the submission to JSON. */
  public ObjectNode write() {
    return JobSpecJson.write(this);
  }

  /** Copies this job with the priority inherited from jobs that depend on it. */
  public JobSpec withPriority(Priority other) {
    return with(other, tasks);
  }

  /** Copies this job with another number of tasks, to reserve capacity for that number. */
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

  /** Whether all tasks must run at the same time. */
  public boolean isGang() {
    return kind == JobKind.GANG;
  }

  /** Whether the tasks run until the job is cancelled. */
  public boolean isService() {
    return kind == JobKind.SERVICE;
  }

  /** The maximum number of tasks that may run in one zone at the same time. */
  public int maxTasksPerZone() {
    return spreadAcrossZones ? (tasks + 1) / 2 : tasks;
  }

  /** Whether tasks may run on machines of a type. */
  public boolean allowsType(String type) {
    return types.isEmpty() || types.contains(type);
  }

  /** Whether the constraints of this job allow a zone; the zone may still be unavailable. */
  public boolean allowsZone(String name) {
    return zone.isEmpty() || zone.get().equals(name);
  }
}
