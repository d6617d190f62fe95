package org.ternhinge.ledger;

import java.util.Optional;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.TaskId;

/**
 * One attempt to run a task on one machine, from the decision to open it until it is proven to have
 * ended. Until then it counts against its team's limit, its machine's capacity and its job's limits
 * per zone.
 *
 * <p>Its state changes as {@link AttemptState} permits; stop requests are independent of the state.
 * Guarded by the controller's lock.
 */
public final class Attempt {

  private final Job job;
  private final TaskId task;
  private final AttemptNumber number;
  private final MachineId machine;
  private final AgentEpoch epoch;
  private final int zone;
  private final boolean recovered;
  private final MonotonicTime openedAt;

  private AttemptState state;
  private MonotonicTime runningSince;

  /** The stop request with the shortest grace period so far, or null. */
  private StopRequest stopRequest;

  private long startHeartbeatSequence = -1;
  private long lastReportedRevision = -1;

  Attempt(
      Job job,
      int index,
      AttemptNumber number,
      MachineId machine,
      AgentEpoch epoch,
      int zone,
      boolean recovered,
      MonotonicTime openedAt) {
    this.job = job;
    this.task = new TaskId(job.spec().id(), index);
    this.number = number;
    this.machine = machine;
    this.epoch = epoch;
    this.zone = zone;
    this.recovered = recovered;
    this.state = recovered ? AttemptState.STARTING : AttemptState.PROPOSED;
    this.openedAt = openedAt;
  }

  /** The job of the task. */
  public Job job() {
    return job;
  }

  /** The task that the attempt is to run. */
  public TaskId task() {
    return task;
  }

  /** Attempt number within the job; increases with each attempt. */
  public AttemptNumber number() {
    return number;
  }

  /** The machine on which the attempt was opened. */
  public MachineId machine() {
    return machine;
  }

  /** Epoch of the machine's agent for which the attempt was opened; no later epoch may start it. */
  public AgentEpoch epoch() {
    return epoch;
  }

  /** Index of the machine's zone in the settings. */
  public int zone() {
    return zone;
  }

  /** Whether the attempt was opened by an earlier leader. */
  public boolean isRecovered() {
    return recovered;
  }

  /** When this leader opened the attempt, or loaded it if an earlier leader opened it. */
  public MonotonicTime openedAt() {
    return openedAt;
  }

  /** The state, from the key-value store's responses and the worker's latest status. */
  public AttemptState state() {
    return state;
  }

  /** Whether the attempt is durable in the key-value store; until then no start may be sent. */
  public boolean isDurable() {
    return state.isDurable();
  }

  /** Whether the worker has reported the attempt. */
  public boolean isReported() {
    return state.isReported();
  }

  /** Marks the attempt as durable in the key-value store. */
  void markDurable() {
    transition(AttemptState.STARTING);
  }

  /** Closes the attempt once it is proven to have ended. */
  void close() {
    transition(AttemptState.CLOSED);
  }

  /** When the worker first reported it as running, or null if it has not. */
  public MonotonicTime runningSince() {
    return runningSince;
  }

  /**
   * Records the state reported by the worker. A status received before the record is durable is
   * ignored: no start was sent yet, so the status is a worker's error and must not make the attempt
   * appear durable.
   *
   * @param reported a {@linkplain AttemptState#isReported reported} state
   * @throws IllegalTransitionException if workers do not report this state or the attempt is closed
   */
  public void observe(AttemptState reported, MonotonicTime at) {
    if (!reported.isReported()) {
      throw new IllegalTransitionException(toString(), state, reported);
    }
    if (state == AttemptState.PROPOSED) {
      return;
    }
    if (reported == AttemptState.RUNNING && state != AttemptState.RUNNING) {
      runningSince = at;
    }
    transition(reported);
  }

  private void transition(AttemptState next) {
    if (!state.permits(next)) {
      throw new IllegalTransitionException(toString(), state, next);
    }
    state = next;
  }

  /** Whether a stop was requested. */
  public boolean isStopRequested() {
    return stopRequest != null;
  }

  /** The stop request, if there is one. */
  public Optional<StopRequest> stopRequest() {
    return Optional.ofNullable(stopRequest);
  }

  /** Grace period in seconds for a checkpoint before the task is stopped; 0 without a request. */
  public double stopGraceS() {
    return stopRequest == null ? 0 : stopRequest.graceS();
  }

  /** Requests a stop; replaces an earlier request only if the grace period is shorter. */
  public void requestStop(double graceS, MonotonicTime at) {
    if (stopRequest == null || graceS < stopRequest.graceS()) {
      stopRequest = new StopRequest(graceS, at);
    }
  }

  /** This leader's latest revision of the machine's task list that contained the attempt, or -1. */
  public long lastReportedRevision() {
    return lastReportedRevision;
  }

  /** Records the revision of the machine's task list that contains the attempt. */
  public void setLastReportedRevision(long tasksRevision) {
    lastReportedRevision = tasksRevision;
  }

  /** Sequence number of the heartbeat whose response carried the start command, or -1. */
  public long startHeartbeatSequence() {
    return startHeartbeatSequence;
  }

  /** Records the sequence number of the heartbeat whose response carried the start command. */
  public void setStartHeartbeatSequence(long sequence) {
    startHeartbeatSequence = sequence;
  }

  /** Returns task, attempt number and machine, for log and error messages. */
  @Override
  public String toString() {
    return task + " attempt " + number + " on " + machine;
  }
}
