package org.ternhinge.ledger;

import java.util.Optional;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.TaskId;

/**
 * One attempt to run a task on one machine, from the decision to open it until there is proof that
 * it is gone. All that while it counts against its team's limit, its machine and its job's zones.
 *
 * <p>Its state follows the table of {@link AttemptState}; whether it is to stop is independent of
 * that. The controller's lock guards it.
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

  /** The request to stop with the least grace so far; null where there was none. */
  private StopRequest stopRequest;

  private long startAnswered = -1;
  private long shownIn = -1;

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

  /** Number within the job; later attempts have higher ones. */
  public AttemptNumber number() {
    return number;
  }

  /** The machine that the attempt was opened on. */
  public MachineId machine() {
    return machine;
  }

  /** Epoch of the machine's agent that the attempt was opened for; no later one may start it. */
  public AgentEpoch epoch() {
    return epoch;
  }

  /** Index of the zone in the settings. */
  public int zone() {
    return zone;
  }

  /** Whether an earlier leader opened it. */
  public boolean recovered() {
    return recovered;
  }

  /** When this leader opened it, or loaded it if an earlier one did. */
  public MonotonicTime openedAt() {
    return openedAt;
  }

  /** The state, by the key-value store's answers and the worker's latest status. */
  public AttemptState state() {
    return state;
  }

  /** Whether the key-value store holds it; until then no start may be sent. */
  public boolean durable() {
    return state.isDurable();
  }

  /** Whether the worker has shown it. */
  public boolean isReported() {
    return state.isReported();
  }

  /** The key-value store holds it. */
  void markDurable() {
    transition(AttemptState.STARTING);
  }

  /** There is proof that it is gone. */
  void close() {
    transition(AttemptState.CLOSED);
  }

  /** When the worker was first seen to run it, or null before that. */
  public MonotonicTime runningSince() {
    return runningSince;
  }

  /**
   * Records the worker's status. One that comes before the record is durable is ignored: no start
   * was sent, so it can only be a worker's mistake, and must not make the attempt look durable.
   *
   * @param reported a {@linkplain AttemptState#isReported reported} state
   * @throws IllegalTransitionException if the state is no reported one or the attempt is closed
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
  public boolean stopping() {
    return stopRequest != null;
  }

  /** The request to stop, or nothing where there was none. */
  public Optional<StopRequest> stopRequest() {
    return Optional.ofNullable(stopRequest);
  }

  /**
   * Seconds that the task has for a checkpoint once it is to stop; 0 where no stop is requested.
   */
  public double stopGraceS() {
    return stopRequest == null ? 0 : stopRequest.graceS();
  }

  /** Requests a stop; a later request replaces an earlier one only if its grace is shorter. */
  public void stop(double graceS, MonotonicTime at) {
    if (stopRequest == null || graceS < stopRequest.graceS()) {
      stopRequest = new StopRequest(graceS, at);
    }
  }

  /** Revision of the machine's tasks, as this leader counts them, that showed it last, or -1. */
  public long shownIn() {
    return shownIn;
  }

  /** Records the revision of the machine's tasks that shows it. */
  public void shownIn(long tasksRevision) {
    shownIn = tasksRevision;
  }

  /** Sequence of the heartbeat whose answer carried the start, or -1. */
  public long startAnswered() {
    return startAnswered;
  }

  /** Records the heartbeat whose answer carried the start. */
  public void startAnswered(long sequence) {
    startAnswered = sequence;
  }

  /** Task, attempt number and machine, for messages. */
  @Override
  public String toString() {
    return task + " attempt " + number + " on " + machine;
  }
}
