package org.ternhinge.ledger;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.ternhinge.config.Team;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.TaskId;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.TaskReport;

/**
 * Jobs and their attempts: the only door through which an attempt opens or closes. Whatever a
 * policy asks, {@link #admit} decides; it counts every attempt that may still be anywhere.
 *
 * <p>Not safe for use by several threads; the controller's lock guards it.
 */
public final class Ledger {
  private static final int FINALS_KEPT = 4096;

  /** One task and where it is to go. */
  public record Placement(int index, MachineAttributes site) {}

  private final Map<String, Team> teams;
  private final int valueBytes;
  private final Clock clock;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Resources> teamUse = new HashMap<>();
  private final Map<MachineId, Resources> machineUse = new HashMap<>();
  private final Map<MachineId, Set<Attempt>> byMachine = new HashMap<>();
  private final Object2ObjectLinkedOpenHashMap<JobId, JobState> finals =
      new Object2ObjectLinkedOpenHashMap<>();
  private final LinkedHashSet<Job> dirtyJobs = new LinkedHashSet<>();
  private final Dependencies dependencies;

  /**
   * @param valueBytes the most that the state service takes as one value
   */
  public Ledger(Map<String, Team> teams, int valueBytes, Clock clock) {
    this.clock = clock;
    this.teams = teams;
    this.valueBytes = valueBytes;
    this.dependencies = new Dependencies(this, clock);
  }

  int valueBytes() {
    return valueBytes;
  }

  public Dependencies dependencies() {
    return dependencies;
  }

  public Job job(JobId id) {
    return jobs.get(id);
  }

  public Collection<Job> jobs() {
    return jobs.values();
  }

  /** The final state of a job that ended lately, or null. */
  public JobState ended(JobId id) {
    return finals.get(id);
  }

  public void rememberEnd(JobState state) {
    finals.putAndMoveToLast(state.id(), state);
    if (finals.size() > FINALS_KEPT) {
      finals.removeFirst();
    }
  }

  public Resources teamUse(String team) {
    return teamUse.getOrDefault(team, Resources.ZERO);
  }

  public Resources machineUse(MachineId machine) {
    return machineUse.getOrDefault(machine, Resources.ZERO);
  }

  public Collection<Attempt> attemptsOn(MachineId machine) {
    return byMachine.getOrDefault(machine, Set.of());
  }

  /** Whether a task that a machine shows is an attempt open there. */
  public boolean holds(TaskReport shown, MachineId machine) {
    Job job = jobs.get(shown.task().job());
    Attempt a = job == null ? null : job.open(shown.task().index());
    return a != null && a.number().equals(shown.attempt()) && a.machine().equals(machine);
  }

  /** Machines that attempts are open on, whether or not anything else is known of them. */
  public Set<MachineId> machinesInUse() {
    return new HashSet<>(byMachine.keySet());
  }

  /** Takes in a job that the state service holds. */
  public void adopt(Job job) {
    if (jobs.putIfAbsent(job.spec().id(), job) != null) {
      return;
    }
    job.openAttempts().forEach(this::count);
    settle(job);
    dependencies.adopted(job);
  }

  /** Of tasks that are to start, those whose attempts the job's record has room for. */
  public List<Placement> whatFits(Job job, List<Placement> placements) {
    if (SegmentCapacity.always(job, valueBytes)) {
      return placements;
    }
    SegmentCapacity room = new SegmentCapacity(job, valueBytes);
    AttemptNumber number = job.highest().next();
    List<Placement> fits =
        placements.stream()
            .filter(p -> room.take(p.index(), number, p.site().machine(), p.site().session()))
            .toList();
    if (fits.size() < placements.size() && job.spec().isService() && mayRepartition(job)) {
      // Nothing of a service ends by itself, so waiting for room in a large segment could be for
      // ever.
      // An array's tasks end: to write its first segment for this each round would only cost
      // changes.
      job.repartitionWanted(true);
      job.dirty().set(0);
      dirty(job);
    }
    return fits;
  }

  /** Whether a record has larger segments than it would have now, and may be repartitioned. */
  boolean mayRepartition(Job job) {
    return RecordSize.segmentSize(job, valueBytes) < job.segmentSize()
        && job.merged().isEmpty()
        && job.inFlight().isEmpty()
        && !job.repartitionTooLarge()
        && !job.over();
  }

  /**
   * A gang laid down under a larger limit may not fit its segments any more. While it waits nothing
   * stands in them but in the first, so that the next write of that one repartitions it.
   */
  private void repartition(Job job) {
    if (job.spec().isGang()
        && mayRepartition(job)
        && job.openMap().isEmpty()
        && job.liveSegments().isEmpty()
        && !SegmentCapacity.always(job, valueBytes)) {
      job.repartition(RecordSize.segmentSize(job, valueBytes));
      job.dirty().clear();
      job.dirty().set(0);
    }
  }

  /**
   * Opens attempts for tasks of a job, all with one number, or says why not. Nothing may be started
   * until the attempts are durable.
   *
   * @param ghosts whether a machine still shows a task that has no open attempt
   * @return null when the attempts are open, otherwise the reason against it
   */
  public String open(
      Job job, List<Placement> placements, Predicate<TaskId> ghosts, SteadyTime now) {
    repartition(job);
    String against = admit(job, placements, ghosts);
    if (against != null) {
      return against;
    }
    AttemptNumber number = job.highest().next();
    job.highest(number);
    job.opening(true);
    job.dirty().set(0);
    for (Placement p : placements) {
      MachineAttributes s = p.site();
      Attempt a =
          new Attempt(job, p.index(), number, s.machine(), s.session(), s.zone(), false, now);
      job.openMap().put(p.index(), a);
      job.dirty().set(job.segmentOf(p.index()));
      count(a);
    }
    dirty(job);
    return null;
  }

  /**
   * The one admission check: job state, double starts, gangs whole, type, zone, kind of machine,
   * the team's limit and the machine's room.
   */
  String admit(Job job, List<Placement> placements, Predicate<TaskId> ghosts) {
    JobSpec spec = job.spec();
    if (placements.isEmpty()) {
      return "nothing to place";
    }
    if (job.cancelled() || job.over()) {
      return "job is over";
    }
    if (job.waits()) {
      return "waits for other jobs";
    }
    if (spec.isGang() && (placements.size() != spec.tasks() || !job.openMap().isEmpty())) {
      return "a gang starts whole, after every task of its last attempt is gone";
    }
    Team team = teams.get(spec.team());
    if (team == null) {
      return "unknown team";
    }
    Map<Integer, Integer> perZone = new HashMap<>();
    for (Attempt a : job.openAttempts()) {
      perZone.merge(a.zone(), 1, Integer::sum);
    }
    Map<MachineId, Resources> room = new HashMap<>();
    Set<Integer> indexes = new HashSet<>();
    for (Placement p : placements) {
      MachineAttributes s = p.site();
      if (p.index() < 0 || p.index() >= spec.tasks() || !indexes.add(p.index())) {
        return "no such task";
      }
      if (job.isDone(p.index())) {
        return "task is done";
      }
      if (job.open(p.index()) != null) {
        return "task has an open attempt";
      }
      if (ghosts.test(new TaskId(spec.id(), p.index()))) {
        return "task still shows on a machine";
      }
      if (!spec.allowsType(s.type())
          || (spec.zone() != null && !spec.zone().equals(s.zoneName()))
          || (s.spot() && !spec.spotAllowed())) {
        return "job does not permit this machine";
      }
      perZone.merge(s.zone(), 1, Integer::sum);
      if (perZone.get(s.zone()) > spec.zoneLimit()) {
        return "too many tasks in one zone";
      }
      if (spec.together() && perZone.size() > 1) {
        return "tasks in several zones";
      }
      Resources left =
          room.computeIfAbsent(s.machine(), m -> s.capacity().minus(machineUse(m)))
              .minus(spec.need());
      if (left.cpus() < 0 || left.gpus() < 0 || left.memory() < 0) {
        return "no room on the machine";
      }
      room.put(s.machine(), left);
    }
    Resources use = teamUse(spec.team()).plus(spec.need().times(placements.size()));
    if (!within(team, use)) {
      return "team limit";
    }
    if (whatFits(job, placements).size() < placements.size()) {
      return "no room in the record";
    }
    return null;
  }

  /** Whether so much use keeps to a team's limit; a limit of 0 limits nothing. */
  public static boolean within(Team team, Resources use) {
    return (team.cpusMax() == 0 || use.cpus() <= team.cpusMax())
        && (team.gpusMax() == 0 || use.gpus() <= team.gpusMax());
  }

  /** There is proof that the attempt is gone. One finished task finishes its whole gang. */
  public void close(Attempt a, boolean done) {
    Job job = a.job();
    if (!job.openMap().remove(a.task().index(), a)) {
      return;
    }
    discount(a);
    job.dirty().set(job.segmentOf(a.task().index()));
    if (done) {
      if (job.spec().isGang()) {
        job.done().set(0, job.spec().tasks());
        for (int p = 0; p < job.segments(); p++) {
          job.dirty().set(p);
        }
      } else {
        job.done().set(a.task().index());
      }
    }
    dirty(job);
    settle(job);
  }

  /**
   * The job's user has cancelled it; starts end at this instant. A job that is over stays what it
   * is: the record that says so may be on its way to the state service already.
   */
  public void cancel(Job job) {
    if (!job.cancelled() && !job.over()) {
      job.markCancelled(false);
      job.dirty().set(0);
      dirty(job);
      settle(job);
    }
  }

  /** One that it depends on is durably cancelled: so is it, whenever its own record says so. */
  void cancelByDependency(Job job) {
    job.markCancelledByDependency();
    job.dirty().set(0);
    dirty(job);
    settle(job);
  }

  /** The state service holds a job's cancellation. */
  void cancelIsDurable(Job job) {
    job.cancelIsDurable();
    dependencies.cancelDependents(job.spec().id());
  }

  /** The state of a job as far as memory can tell it, or null: see {@link Dependencies#sure}. */
  public JobState stateFor(Job job) {
    if (job.cancelDurable()) {
      return stateOf(job);
    }
    return job.over() || job.cancelled() || !dependencies.sure(job) ? null : stateOf(job);
  }

  private void settle(Job job) {
    for (int p = 1; p < job.segments(); p++) {
      if (!job.merged().get(p) && job.segmentOver(p) && mayMerge(job, p)) {
        job.merged().set(p);
        job.dirty().set(0);
        job.dirty().set(p);
        dirty(job);
      }
    }
    boolean complete = job.doneCount() == job.spec().tasks();
    if (job.openMap().isEmpty() && (complete || job.cancelled())) {
      job.markOver();
      dirty(job);
    }
  }

  /** The first segment lists what is merged; a segment that would make the list too long stays. */
  private boolean mayMerge(Job job, int segment) {
    BitSet merged = job.merged();
    boolean joins = merged.get(segment + 1) || merged.get(segment - 1);
    int most = RecordSize.mergedRanges(valueBytes);
    if (joins || merged.cardinality() < most) {
      return true;
    }
    int ranges = 0;
    for (int i = merged.nextSetBit(0); i >= 0; i = merged.nextSetBit(merged.nextClearBit(i))) {
      ranges++;
    }
    return ranges < most;
  }

  private void count(Attempt a) {
    Resources need = a.job().spec().need();
    teamUse.merge(a.job().spec().team(), need, Resources::plus);
    machineUse.merge(a.machine(), need, Resources::plus);
    byMachine.computeIfAbsent(a.machine(), m -> new LinkedHashSet<>()).add(a);
  }

  private void discount(Attempt a) {
    Resources need = a.job().spec().need();
    teamUse.computeIfPresent(a.job().spec().team(), (t, r) -> r.minus(need));
    Set<Attempt> there = byMachine.get(a.machine());
    there.remove(a);
    if (there.isEmpty()) {
      byMachine.remove(a.machine());
      machineUse.remove(a.machine());
    } else {
      machineUse.computeIfPresent(a.machine(), (m, r) -> r.minus(need));
    }
  }

  /** What a job has to write, the most urgent first. */
  enum Urgency {
    CANCELS,
    PRODUCTION_OPENS,
    ENDS,
    HIGH_OPENS,
    OPENS,
    ENDINGS
  }

  /**
   * Jobs with something to write, by urgency, those that have waited longest first.
   *
   * @param gathered endings that came later than this go on being gathered
   * @param late endings that came before this wait behind nobody's opens any more
   */
  List<List<Job>> takeDirty(SteadyTime gathered, SteadyTime late) {
    List<List<Job>> out = new ArrayList<>();
    for (int i = 0; i < Urgency.values().length; i++) {
      out.add(new ArrayList<>());
    }
    for (Job job : dirtyJobs) {
      Urgency urgency = urgency(job);
      if (urgency == Urgency.ENDINGS
          && !job.cancelledByDependency()
          && job.dirtySince().isBefore(late)) {
        urgency = Urgency.OPENS;
      }
      if (urgency != Urgency.ENDINGS || !gathered.isBefore(job.dirtySince())) {
        out.get(urgency.ordinal()).add(job);
      }
    }
    return out;
  }

  private static Urgency urgency(Job job) {
    if (job.cancelledByDependency()) {
      // Users are told already, and there may be thousands of them.
      return Urgency.ENDINGS;
    }
    if (job.cancelled()) {
      return Urgency.CANCELS;
    }
    if (job.over()) {
      return Urgency.ENDS;
    }
    if (!job.opening()) {
      return Urgency.ENDINGS;
    }
    return switch (job.planned().priority()) {
      case PRODUCTION -> Urgency.PRODUCTION_OPENS;
      case HIGH -> Urgency.HIGH_OPENS;
      default -> Urgency.OPENS;
    };
  }

  private void dirty(Job job) {
    if (dirtyJobs.add(job)) {
      job.dirtySince(clock.now());
    }
  }

  boolean hasDirty() {
    return !dirtyJobs.isEmpty();
  }

  void clean(Job job) {
    dirtyJobs.remove(job);
    job.opening(false);
  }

  void ended(Job job) {
    jobs.remove(job.spec().id());
    dirtyJobs.remove(job);
    JobState.Phase phase = job.cancelled() ? JobState.Phase.CANCELLED : JobState.Phase.DONE;
    JobState state = new JobState(job.spec().id(), phase, job.doneCount(), 0);
    rememberEnd(state);
    dependencies.ended(state);
  }

  /** What the user of a job in this ledger may be told. */
  public static JobState stateOf(Job job) {
    JobId id = job.spec().id();
    if (job.cancelDurable()) {
      return new JobState(id, JobState.Phase.CANCELLED, job.doneCount(), 0);
    }
    int running = job.runningCount();
    JobState.Phase phase = running > 0 ? JobState.Phase.RUNNING : JobState.Phase.QUEUED;
    return new JobState(id, phase, job.doneCount(), running);
  }
}
