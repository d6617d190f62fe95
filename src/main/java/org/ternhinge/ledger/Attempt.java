package org.ternhinge.ledger;

import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Session;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.TaskId;

/**
 * One start of a task on one machine, from the decision to open it until there is proof that it is
 * gone. All that while it counts against its team, its machine and its job's zones.
 */
public final class Attempt {

  /** What the worker was last seen to say of it. */
  public enum Seen {
    /** Nothing yet: the start may be on its way. */
    UNSEEN,
    FETCHING,
    WAITING,
    RUNNING,
    SAVING
  }

  private final Job job;
  private final TaskId task;
  private final AttemptNumber number;
  private final MachineId machine;
  private final Session session;
  private final int zone;
  private final boolean recovered;
  private final SteadyTime openedAt;

  private boolean durable;
  private Seen seen = Seen.UNSEEN;
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
      Session session,
      int zone,
      boolean recovered,
      SteadyTime openedAt) {
    this.job = job;
    this.task = new TaskId(job.spec().id(), index);
    this.number = number;
    this.machine = machine;
    this.session = session;
    this.zone = zone;
    this.recovered = recovered;
    this.durable = recovered;
    this.openedAt = openedAt;
  }

  public Job job() {
    return job;
  }

  public TaskId task() {
    return task;
  }

  public AttemptNumber number() {
    return number;
  }

  public MachineId machine() {
    return machine;
  }

  public Session session() {
    return session;
  }

  /** Index of the zone in the settings. */
  public int zone() {
    return zone;
  }

  /** Whether an earlier leader opened it. */
  public boolean recovered() {
    return recovered;
  }

  public SteadyTime openedAt() {
    return openedAt;
  }

  /** Whether the state service holds it; until then no start may be sent. */
  public boolean durable() {
    return durable;
  }

  void markDurable() {
    durable = true;
  }

  public Seen seen() {
    return seen;
  }

  public SteadyTime runningSince() {
    return runningSince;
  }

  public void see(Seen now, SteadyTime at) {
    if (now == Seen.RUNNING && seen != Seen.RUNNING) {
      runningSince = at;
    }
    seen = now;
  }

  public boolean stopping() {
    return stopping;
  }

  public double stopGraceS() {
    return stopGraceS;
  }

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

  public void shownIn(long message) {
    shownIn = message;
  }

  /** Sequence of the report whose answer carried the start, or -1. */
  public long startAnswered() {
    return startAnswered;
  }

  public void startAnswered(long sequence) {
    startAnswered = sequence;
  }
}
