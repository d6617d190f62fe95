package org.ternhinge.ledger;

import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.TaskId;

/**
 * One start of a task on one machine, from the decision to open it until there is proof that it is
 * gone. All that while it counts against its team, its machine and its job's zones.
 */
public final class Attempt {

  private final Job job;
  private final TaskId task;
  private final AttemptNumber number;
  private final MachineId machine;
  private final AgentEpoch epoch;
  private final int zone;
  private final boolean recovered;
  private final SteadyTime openedAt;

  private boolean durable;
  private AttemptState state = AttemptState.STARTING;
  private SteadyTime runningSince;
  private boolean stopping;
  private double stopGraceS;
  private SteadyTime stopAt;
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
      SteadyTime openedAt) {
    this.job = job;
    this.task = new TaskId(job.spec().id(), index);
    this.number = number;
    this.machine = machine;
    this.epoch = epoch;
    this.zone = zone;
    this.recovered = recovered;
    this.durable = recovered;
    this.openedAt = openedAt;
  }

  /** The job that it is of. */
  public Job job() {
    return job;
  }

  /** The task that was to start. */
  public TaskId task() {
    return task;
  }

  /** Number within the job; those of later attempts are higher. */
  public AttemptNumber number() {
    return number;
  }

  /** The machine that it was opened on. */
  public MachineId machine() {
    return machine;
  }

  /** The run of the machine's worker that it was opened for; none later may start it. */
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
  public SteadyTime openedAt() {
    return openedAt;
  }

  /** Whether the key-value store holds it; until then no start may be sent. */
  public boolean durable() {
    return durable;
  }

  /** The key-value store holds it. */
  void markDurable() {
    durable = true;
  }

  /** What the worker was last seen to say of it. */
  public AttemptState state() {
    return state;
  }

  /** Since when it was seen running, or null. */
  public SteadyTime runningSince() {
    return runningSince;
  }

  /** Notes what the worker says of it. */
  public void observe(AttemptState now, SteadyTime at) {
    if (now == AttemptState.RUNNING && state != AttemptState.RUNNING) {
      runningSince = at;
    }
    state = now;
  }

  /** Whether it was asked to stop. */
  public boolean stopping() {
    return stopping;
  }

  /** Seconds that it has to save its work once it is told to stop. */
  public double stopGraceS() {
    return stopGraceS;
  }

  /** When it was asked to stop, or null. */
  public SteadyTime stopAt() {
    return stopAt;
  }

  /** Asks for it to be stopped; a second request can only make the grace shorter. */
  public void stop(double graceS, SteadyTime at) {
    if (!stopping || graceS < stopGraceS) {
      stopGraceS = graceS;
      stopAt = at;
      stopping = true;
    }
  }

  /** The message of its machine that showed it last, by the leader's own count. */
  public long shownIn() {
    return shownIn;
  }

  /** Notes the message of its machine that shows it. */
  public void shownIn(long message) {
    shownIn = message;
  }

  /** Sequence of the heartbeat whose answer carried the start, or -1. */
  public long startAnswered() {
    return startAnswered;
  }

  /** Notes the heartbeat whose answer carried the start. */
  public void startAnswered(long sequence) {
    startAnswered = sequence;
  }
}
