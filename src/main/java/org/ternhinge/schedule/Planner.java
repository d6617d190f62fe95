package org.ternhinge.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ternhinge.config.Team;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot.AttemptView;
import org.ternhinge.schedule.Snapshot.JobView;
import org.ternhinge.schedule.Snapshot.MachineView;
import org.ternhinge.schedule.Snapshot.Offer;
import org.ternhinge.schedule.Snapshot.Reservation;
import org.ternhinge.wire.Flavor;
import org.ternhinge.wire.JobKind;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Priority;

/**
 * Decides what runs where. A pure function of the snapshot: in order of priority, guarantee and
 * arrival each job's tasks go where their image lies, else where they wait least and waste least;
 * what finds no room may have others stopped for it, and what still waits is rented for.
 */
public final class Planner {
  /** An array this long in the queue is worth a machine of its own for each task. */
  private static final double ARRAY_TURN_S = 60;

  /** Score, in seconds, of taking a place that a task with accelerators would need. */
  private static final double ACCELERATOR_S = 120;

  /** Score, in seconds, of using an ordinary machine for what spot machines could run. */
  private static final double ORDINARY_S = 3;

  private static final double SIBLING_S = 4;

  /** Score, in seconds, in favour of a place that was made for the job. */
  private static final double KEPT_S = 1000;

  private final Snapshot snapshot;
  private final Plan plan = new Plan();
  private final List<Bin> bins = new ArrayList<>();
  private final Map<String, Resources> teamUse;
  private final Map<JobId, int[]> zoneOpen = new HashMap<>();
  private final List<Demand> unmet = new ArrayList<>();

  /** What the tasks with accelerators that are about look like, or null if there are none. */
  private final JobSpec acceleratorJob;

  private Planner(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.teamUse = new HashMap<>(snapshot.teamUse());
    for (MachineView m : snapshot.machines()) {
      bins.add(new Bin(m));
    }
    this.acceleratorJob = acceleratorJob();
  }

  private JobSpec acceleratorJob() {
    for (JobView job : snapshot.jobs()) {
      if (job.spec().need().gpus() > 0) {
        return job.spec();
      }
    }
    for (MachineView m : snapshot.machines()) {
      for (AttemptView a : m.attempts()) {
        if (a.spec().need().gpus() > 0) {
          return a.spec();
        }
      }
    }
    for (JobView job : snapshot.spares()) {
      if (job.spec().need().gpus() > 0) {
        return job.spec();
      }
    }
    return null;
  }

  /** How many tasks with accelerators lose their place on a machine to this one. */
  private int blocks(JobSpec spec, Bin bin) {
    Resources capacity = bin.flavor.capacity();
    if (capacity.gpus() == 0 || spec.need().gpus() > 0) {
      return 0;
    }
    if (acceleratorJob != null && !bin.allows(acceleratorJob)) {
      return 0;
    }
    if (acceleratorJob != null
        && spec.kind() == JobKind.ARRAY
        && spec.priority().compareTo(acceleratorJob.priority()) > 0) {
      // Lesser arrays are stopped when an accelerated task comes.
      return 0;
    }
    Resources task = acceleratorJob == null ? null : acceleratorJob.need();
    if (task == null) {
      // None are about: suppose that one takes an accelerator and nearly its share of the rest.
      long gpus = Math.max(1, capacity.gpus() / 1000);
      task = new Resources(capacity.cpus() * 7 / 8 / gpus, 1000, capacity.memory() * 3 / 4 / gpus);
    }
    // Judged by the room without arrays, which end soon: a service takes what will be free for
    // good,
    // and arrays may fill only what no accelerated task could use once they have ended. Judging
    // them
    // by the room of the moment let one short task give a place away for as long as arrays came.
    Resources arrays = bin.passing();
    Resources room = bin.free.plus(arrays);
    int places = task.timesIn(room);
    if (spec.kind() == JobKind.ARRAY) {
      Resources spare = room.minus(task.times(places));
      return places == 0 || arrays.plus(spec.need()).fitsIn(spare) ? 0 : 1;
    }
    return places - task.timesIn(room.minus(spec.need()));
  }

  public static Plan plan(Snapshot snapshot) {
    Planner planner = new Planner(snapshot);
    planner.run();
    return planner.plan;
  }

  /** Order in which jobs are served. */
  public static final Comparator<JobView> ORDER =
      Comparator.comparing((JobView j) -> j.spec().priority() != Priority.PRODUCTION)
          .thenComparing(j -> !j.guaranteed())
          .thenComparing(j -> j.spec().priority())
          .thenComparingDouble(JobView::rank);

  private record Demand(JobView job, int tasks) {}

  /**
   * How far to go for a place.
   *
   * @param mayBlock also where tasks with accelerators would miss it
   * @param ownTeam only by stopping work of the job's own team, which frees its limit too
   * @param cached only where the image lies
   */
  private record Reach(boolean mayBlock, boolean ownTeam, boolean cached) {
    private static final Reach PLAIN = new Reach(false, false, false);
    private static final Reach CACHED = new Reach(false, false, true);
    private static final Reach LAST = new Reach(true, false, false);
    private static final Reach OWN = new Reach(false, true, false);
    private static final Reach OWN_LAST = new Reach(true, true, false);
  }

  /** A machine with the room that is left as the plan grows. */
  private static final class Bin {
    private final MachineView view;
    private final Flavor flavor;
    private final int zone;
    private final String zoneName;
    private final boolean spot;
    private Resources free;
    private Resources placedArrays = Resources.ZERO;
    private Set<String> images;
    private final Map<JobId, Integer> siblings = new HashMap<>();
    private boolean used;
    private final Set<JobId> stoppedFor = new HashSet<>();

    Bin(MachineView view) {
      this.view = view;
      this.flavor = view.flavor();
      this.zone = view.zone();
      this.zoneName = view.zoneName();
      this.spot = view.spot();
      this.free = view.free();
      this.images = view.images();
      for (AttemptView a : view.attempts()) {
        siblings.merge(a.spec().id(), 1, Integer::sum);
      }
    }

    Bin(Offer offer) {
      this.view = null;
      this.flavor = offer.flavor();
      this.zone = offer.zone();
      this.zoneName = offer.zoneName();
      this.spot = offer.spot();
      this.free = flavor.capacity();
      this.images = Set.of();
    }

    boolean allows(JobSpec spec) {
      return spec.allowsType(flavor.name())
          && (spec.zone() == null || spec.zone().equals(zoneName))
          && (!spot || spec.spotAllowed());
    }

    boolean ready() {
      return view != null && view.ready();
    }

    /** Whether others were stopped here to make room for this job. */
    boolean keptFor(JobId job) {
      if (view != null) {
        for (Reservation r : view.reservations()) {
          if (r.job().equals(job)) {
            return true;
          }
        }
      }
      return false;
    }

    Resources roomFor(JobId job) {
      Resources room = free;
      if (view != null) {
        for (Reservation r : view.reservations()) {
          if (!r.job().equals(job)) {
            room = room.minus(r.room());
          }
        }
      }
      return room;
    }

    /** Room of array tasks, which end by themselves before long. */
    Resources passing() {
      Resources sum = placedArrays;
      if (view != null) {
        for (AttemptView a : view.attempts()) {
          if (a.spec().kind() == JobKind.ARRAY) {
            sum = sum.plus(a.spec().need());
          }
        }
      }
      return sum;
    }

    void take(JobSpec spec) {
      free = free.minus(spec.need());
      if (spec.kind() == JobKind.ARRAY) {
        placedArrays = placedArrays.plus(spec.need());
      }
      siblings.merge(spec.id(), 1, Integer::sum);
      used = true;
      if (!images.contains(spec.image())) {
        images = new HashSet<>(images);
        images.add(spec.image());
      }
    }
  }

  private void run() {
    List<JobView> order = new ArrayList<>(snapshot.jobs());
    order.sort(ORDER);
    for (JobView job : order) {
      zoneOpen.put(job.spec().id(), job.zoneOpen().clone());
      if (!job.blocked()) {
        serve(job);
      }
    }
    List<Bin> coming = new ArrayList<>();
    for (Bin bin : bins) {
      if (!bin.ready()) {
        coming.add(bin);
      }
    }
    for (Demand demand : unmet) {
      rentFor(demand, coming);
    }
    for (JobView spare : snapshot.spares()) {
      keepFor(spare, coming);
    }
    release();
  }

  private void serve(JobView job) {
    JobSpec spec = job.spec();
    int allowed = Math.min(job.pending().size(), limitLeft(spec));
    if (spec.isGang()) {
      if (job.pending().size() < spec.tasks()) {
        return;
      }
      if (allowed < spec.tasks()) {
        if (limitLeft(spec, passingUse(spec.team())) >= spec.tasks()) {
          hold(spec, spec.tasks());
        }
        return;
      }
      if (!placeGang(job)) {
        if (!preemptGang(job)) {
          unmet.add(new Demand(job, spec.tasks()));
        }
        hold(spec, spec.tasks());
      }
      return;
    }
    int[] zones = zoneOpen.get(spec.id());
    boolean production = spec.priority() == Priority.PRODUCTION;
    int placed = 0;
    int left = allowed;
    if (production) {
      // An image takes longer to fetch than lesser work to stop: first all places that have it.
      placed += place(job, placed, left, zones, Reach.CACHED);
      left = allowed - placed - job.reservedTasks();
      while (left > 0 && preempt(job, zones, Reach.CACHED)) {
        left--;
      }
    }
    int more = place(job, placed, left, zones, Reach.PLAIN);
    placed += more;
    left -= more + (production ? 0 : job.reservedTasks());
    while (left > 0 && preempt(job, zones, Reach.PLAIN)) {
      left--;
    }
    if (production && snapshot.settled()) {
      // Last resort: places that tasks with accelerators will miss.
      more = place(job, placed, left, zones, Reach.LAST);
      placed += more;
      left -= more;
      while (left > 0 && preempt(job, zones, Reach.LAST)) {
        left--;
      }
    }
    if (left > 0) {
      unmet.add(new Demand(job, left));
    }
    // What keeps the rest may be the team's limit, taken up by its own lesser work.
    int over = job.pending().size() - Math.max(allowed, placed + job.reservedTasks());
    while (over > 0 && spec.priority() != Priority.LOW && preempt(job, zones, Reach.OWN)) {
      over--;
    }
    while (over > 0 && production && preempt(job, zones, Reach.OWN_LAST)) {
      over--;
    }
    hold(spec, Math.min(job.reservedTasks(), job.pending().size() - placed));
  }

  /** Keeps a part of a team's limit from jobs that come later in order. */
  private void hold(JobSpec spec, int tasks) {
    if (tasks > 0) {
      teamUse.merge(spec.team(), spec.need().times(tasks), Resources::plus);
    }
  }

  /** What a team's array tasks use; they end by themselves before long. */
  private Resources passingUse(String team) {
    Resources sum = Resources.ZERO;
    for (MachineView m : snapshot.machines()) {
      for (AttemptView a : m.attempts()) {
        if (a.spec().kind() == JobKind.ARRAY && a.spec().team().equals(team)) {
          sum = sum.plus(a.spec().need());
        }
      }
    }
    return sum;
  }

  private int place(JobView job, int from, int most, int[] zones, Reach reach) {
    JobSpec spec = job.spec();
    List<Integer> tasks = new ArrayList<>();
    List<MachineId> machines = new ArrayList<>();
    for (int i = 0; i < most && from + i < job.pending().size(); i++) {
      Bin bin = best(spec, zones, -1, reach);
      if (bin == null) {
        break;
      }
      take(bin, spec, zones);
      tasks.add(job.pending().getInt(from + i));
      machines.add(bin.view.id());
    }
    if (!tasks.isEmpty()) {
      plan.places().add(new Plan.Place(spec.id(), tasks, machines));
    }
    return tasks.size();
  }

  private void take(Bin bin, JobSpec spec, int[] zones) {
    bin.take(spec);
    zones[bin.zone]++;
    teamUse.merge(spec.team(), spec.need(), Resources::plus);
  }

  /** How many more tasks of this size the team's limit permits. */
  private int limitLeft(JobSpec spec) {
    return limitLeft(spec, Resources.ZERO);
  }

  private int limitLeft(JobSpec spec, Resources without) {
    Team team = snapshot.teams().get(spec.team());
    Resources use = teamUse.getOrDefault(spec.team(), Resources.ZERO).minus(without);
    long n = Integer.MAX_VALUE;
    if (team.cpusMax() > 0) {
      n = Math.min(n, Math.floorDiv(team.cpusMax() - use.cpus(), spec.need().cpus()));
    }
    if (team.gpusMax() > 0 && spec.need().gpus() > 0) {
      n = Math.min(n, Math.floorDiv(team.gpusMax() - use.gpus(), spec.need().gpus()));
    }
    return (int) Math.max(0, n);
  }

  private static boolean zoneFits(JobSpec spec, int[] zones, int zone) {
    if (zones[zone] >= spec.zoneLimit()) {
      return false;
    }
    if (spec.together()) {
      for (int z = 0; z < zones.length; z++) {
        if (z != zone && zones[z] > 0) {
          return false;
        }
      }
    }
    return true;
  }

  private Bin best(JobSpec spec, int[] zones, int onlyZone, Reach reach) {
    Bin best = null;
    double least = Double.MAX_VALUE;
    for (Bin bin : bins) {
      if (!bin.ready()
          || !bin.allows(spec)
          || (onlyZone >= 0 && bin.zone != onlyZone)
          || !zoneFits(spec, zones, bin.zone)
          || !spec.need().fitsIn(bin.roomFor(spec.id()))
          || avoided(spec, bin)
          || (!bin.keptFor(spec.id()) && !within(reach, spec, bin))) {
        continue;
      }
      double score = score(spec, bin);
      if (bin.keptFor(spec.id())) {
        score -= KEPT_S;
      }
      if (score < least) {
        least = score;
        best = bin;
      }
    }
    return best;
  }

  private boolean within(Reach reach, JobSpec spec, Bin bin) {
    return (reach.mayBlock || blocks(spec, bin) <= 0)
        && (!reach.cached || bin.images.contains(spec.image()));
  }

  private boolean avoided(JobSpec spec, Bin bin) {
    Set<MachineId> avoid = avoidOf(spec.id());
    return !avoid.isEmpty() && avoid.contains(bin.view.id());
  }

  private Map<JobId, Set<MachineId>> avoidCache;

  private Set<MachineId> avoidOf(JobId job) {
    if (avoidCache == null) {
      avoidCache = new HashMap<>();
      for (JobView j : snapshot.jobs()) {
        avoidCache.put(j.spec().id(), j.avoid());
      }
    }
    return avoidCache.getOrDefault(job, Set.of());
  }

  /** Seconds of waiting and waste, as far as they can be told; the least is the best. */
  private double score(JobSpec spec, Bin bin) {
    double score = 0;
    if (!bin.images.contains(spec.image())) {
      score += bin.flavor.fetchSeconds(spec.imageGb());
    }
    score += ACCELERATOR_S * blocks(spec, bin);
    if (spec.spotAllowed() && !bin.spot) {
      score += ORDINARY_S;
    }
    score += SIBLING_S * bin.siblings.getOrDefault(spec.id(), 0) * (spec.isService() ? 1 : 0);
    Resources cap = bin.flavor.capacity();
    double left = (double) (bin.free.cpus() - spec.need().cpus()) / Math.max(1, cap.cpus());
    return score + 2 * left;
  }

  private boolean placeGang(JobView job) {
    JobSpec spec = job.spec();
    if (spec.together()) {
      int zones = job.zoneOpen().length;
      for (int z = 0; z < zones; z++) {
        if (tryGang(job, z)) {
          return true;
        }
      }
      return false;
    }
    return tryGang(job, -1);
  }

  private boolean tryGang(JobView job, int zone) {
    JobSpec spec = job.spec();
    int[] zones = new int[job.zoneOpen().length];
    List<Bin> taken = new ArrayList<>();
    List<Resources> before = new ArrayList<>();
    List<Integer> tasks = new ArrayList<>();
    List<MachineId> machines = new ArrayList<>();
    for (int i = 0; i < spec.tasks(); i++) {
      Bin bin = best(spec, zones, zone, Reach.PLAIN);
      if (bin == null) {
        for (int k = taken.size() - 1; k >= 0; k--) {
          taken.get(k).free = before.get(k);
        }
        return false;
      }
      taken.add(bin);
      before.add(bin.free);
      bin.free = bin.free.minus(spec.need());
      zones[bin.zone]++;
      tasks.add(i);
      machines.add(bin.view.id());
    }
    for (Bin bin : taken) {
      bin.used = true;
      bin.images = new HashSet<>(bin.images);
      bin.images.add(spec.image());
    }
    teamUse.merge(spec.team(), spec.need().times(spec.tasks()), Resources::plus);
    plan.places().add(new Plan.Place(spec.id(), tasks, machines));
    return true;
  }

  /** Only gangs of one task have room made for them; larger ones wait for what is rented. */
  private boolean preemptGang(JobView job) {
    if (job.reservedTasks() >= job.spec().tasks()) {
      return true;
    }
    return job.spec().tasks() == 1 && preempt(job, job.zoneOpen().clone(), Reach.PLAIN);
  }

  private boolean mayStop(JobView job, AttemptView victim) {
    if (victim.stopping()) {
      return false;
    }
    JobSpec v = victim.spec();
    if (v.priority().compareTo(job.spec().priority()) > 0) {
      return true;
    }
    return job.guaranteed()
        && v.priority() != Priority.PRODUCTION
        && !v.team().equals(job.spec().team())
        && exceeds(v.team(), v);
  }

  private boolean exceeds(String teamName, JobSpec victim) {
    Team team = snapshot.teams().get(teamName);
    Resources use = teamUse.getOrDefault(teamName, Resources.ZERO).minus(victim.need());
    boolean gpu = victim.need().gpus() > 0 && team.gpus() > 0;
    return team != null && (use.cpus() >= team.cpus() && (!gpu || use.gpus() >= team.gpus()));
  }

  private static double loss(AttemptView a) {
    double lost = a.running() ? a.ranS() : 0;
    if (a.spec().checkpointS() > 0) {
      lost = Math.min(lost, a.spec().saveS() + 5);
    }
    return lost * Math.max(1, a.spec().cpus())
        + (a.spec().isService() ? 10_000 : 0)
        + 1000.0 * (Priority.LOW.ordinal() - a.spec().priority().ordinal());
  }

  private boolean preempt(JobView job, int[] zones, Reach reach) {
    JobSpec spec = job.spec();
    Bin best = null;
    List<AttemptView> bestVictims = null;
    double least = Double.MAX_VALUE;
    for (Bin bin : bins) {
      if (!bin.ready()
          || !bin.allows(spec)
          || !zoneFits(spec, zones, bin.zone)
          || bin.stoppedFor.contains(spec.id())
          || !within(reach, spec, bin)
          || avoided(spec, bin)) {
        continue;
      }
      List<AttemptView> candidates = new ArrayList<>();
      for (AttemptView a : bin.view.attempts()) {
        boolean accelerated = a.spec().need().gpus() > 0 && spec.need().gpus() == 0;
        if (mayStop(job, a)
            && (a.spec().kind() != JobKind.GANG || a.spec().tasks() == 1)
            && (reach.mayBlock || !accelerated)
            && (!reach.ownTeam || a.spec().team().equals(spec.team()))) {
          candidates.add(a);
        }
      }
      candidates.sort(Comparator.comparingDouble(Planner::loss));
      Resources room = bin.roomFor(spec.id());
      List<AttemptView> victims = new ArrayList<>();
      double cost = score(spec, bin);
      Resources freed = Resources.ZERO;
      for (AttemptView a : candidates) {
        if (spec.need().fitsIn(room) && (!reach.ownTeam || spec.need().cpus() <= freed.cpus())) {
          break;
        }
        victims.add(a);
        freed = freed.plus(a.spec().need());
        room = room.plus(a.spec().need());
        cost += loss(a);
      }
      boolean enough = !reach.ownTeam || spec.need().cpus() <= freed.cpus();
      if (!victims.isEmpty() && enough && spec.need().fitsIn(room) && cost < least) {
        least = cost;
        best = bin;
        bestVictims = victims;
      }
    }
    if (best == null) {
      return false;
    }
    List<Plan.Victim> victims = new ArrayList<>();
    for (AttemptView a : bestVictims) {
      victims.add(new Plan.Victim(a.spec().id(), a.index()));
    }
    plan.stops().add(new Plan.Stop(best.view.id(), spec.id(), spec.need(), victims));
    best.stoppedFor.add(spec.id());
    best.used = true;
    zones[best.zone]++;
    teamUse.merge(spec.team(), spec.need(), Resources::plus);
    return true;
  }

  /** Sends what waits to machines that are coming, then rents for the rest. */
  private void rentFor(Demand demand, List<Bin> coming) {
    JobSpec spec = demand.job.spec();
    int tasks = demand.tasks;
    if (spec.kind() == JobKind.ARRAY) {
      tasks = (int) Math.ceil(tasks * Math.min(1, Math.max(1, spec.estimateS()) / ARRAY_TURN_S));
    }
    int[] zones = zoneOpen.getOrDefault(spec.id(), new int[demand.job.zoneOpen().length]).clone();
    for (int i = 0; i < tasks; i++) {
      Bin bin = null;
      for (Bin b : coming) {
        if (b.allows(spec) && zoneFits(spec, zones, b.zone) && spec.need().fitsIn(b.free)) {
          bin = b;
          break;
        }
      }
      if (bin == null) {
        bin = rent(spec, zones, tasks - i);
        if (bin == null) {
          return;
        }
        coming.add(bin);
      }
      bin.take(spec);
      zones[bin.zone]++;
    }
  }

  private final Map<Offer, Integer> rented = new HashMap<>();

  private Bin rent(JobSpec spec, int[] zones, int wanted) {
    Offer best = null;
    double least = Double.MAX_VALUE;
    for (Offer offer : snapshot.offers()) {
      Bin bin = new Bin(offer);
      int fits = spec.need().timesIn(bin.free);
      if (fits == 0
          || !bin.allows(spec)
          || !zoneFits(spec, zones, bin.zone)
          || (spec.priority() != Priority.PRODUCTION && blocks(spec, bin) > 0)
          || rented.getOrDefault(offer, 0) >= offer.most()) {
        continue;
      }
      double price = offer.flavor().price(offer.spot()) / Math.min(fits, Math.max(1, wanted));
      double waits = offer.flavor().bootS() + offer.flavor().fetchSeconds(spec.imageGb());
      double cost = price * (1 + waits / 120);
      if (cost < least) {
        least = cost;
        best = offer;
      }
    }
    if (best == null) {
      return null;
    }
    rented.merge(best, 1, Integer::sum);
    Offer chosen = best;
    for (int i = 0; i < plan.rents().size(); i++) {
      Plan.Rent r = plan.rents().get(i);
      if (r.type().equals(chosen.flavor().name())
          && r.zone().equals(chosen.zoneName())
          && r.spot() == chosen.spot()) {
        plan.rents().set(i, new Plan.Rent(r.type(), r.zone(), r.spot(), r.count() + 1));
        return new Bin(chosen);
      }
    }
    plan.rents().add(new Plan.Rent(chosen.flavor().name(), chosen.zoneName(), chosen.spot(), 1));
    return new Bin(chosen);
  }

  /** Keeps room for a job that may come, on what is there or coming, else rents. */
  private void keepFor(JobView spare, List<Bin> coming) {
    JobSpec spec = spare.spec();
    int left = spec.tasks();
    for (int pass = 0; pass < 2 && left > 0; pass++) {
      for (Bin bin : bins) {
        boolean idle = bin.view.attempts().isEmpty() && !bin.used;
        if (idle != (pass == 1) || !bin.allows(spec) || score(spec, bin) >= ACCELERATOR_S) {
          continue;
        }
        while (left > 0 && spec.need().fitsIn(stoppable(bin, spec))) {
          bin.take(spec);
          left--;
        }
      }
    }
    if (left > 0) {
      rentFor(new Demand(spare, left), coming);
    }
  }

  /** The room that a production job could get on a machine, others stopped. */
  private static Resources stoppable(Bin bin, JobSpec spec) {
    Resources room = bin.free;
    for (AttemptView a : bin.view.attempts()) {
      if (a.spec().priority().compareTo(spec.priority()) > 0 && a.spec().kind() != JobKind.GANG) {
        room = room.plus(a.spec().need());
      }
    }
    return room;
  }

  private void release() {
    for (Bin bin : bins) {
      MachineView m = bin.view;
      if (m.ready()
          && !bin.used
          && m.attempts().isEmpty()
          && m.reservations().isEmpty()
          && m.idleS() > snapshot.idleS()
          && m.heldS() > 60) {
        plan.releases().add(m.id());
      }
    }
  }
}
