package org.ternhinge.machine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.TaskStatus;

/**
 * What the leader knows of one machine. Attempts are not among it, they are the ledger's. Guarded
 * by the controller's lock.
 *
 * <p>The view that the planner is shown is cached. Methods that change what the view is made of
 * drop it; whoever changes attempts on the machine calls {@link #invalidateView}.
 */
public final class Machine {

  /** Room kept for a job after others were preempted for it. */
  public record Reservation(JobId job, Resources room, SteadyTime until) {}

  private final MachineId id;
  private final CloudStatus cloud;
  private final AgentState agent;
  private final MachineHealth health = new MachineHealth();
  private final CommandOutbox outbox = new CommandOutbox();
  private final OutstandingStarts outstandingStarts = new OutstandingStarts();
  private final ImageCache images = new ImageCache();
  private final List<Reservation> reservations = new ArrayList<>();
  private MachineDescription description = MachineDescription.UNKNOWN;
  private List<TaskStatus> tasks = List.of();
  private long tasksRevision;
  private SteadyTime idleSince;

  /** What the planner is shown, or null where something has changed since. */
  private Snapshot.MachineView view;

  /**
   * Creates a machine of which only the name is known.
   *
   * @param leaseExpiry when the lease of its worker is over at the latest
   */
  Machine(MachineId id, SteadyTime now, SteadyTime leaseExpiry) {
    this.id = id;
    this.cloud = new CloudStatus(now);
    this.agent = new AgentState(leaseExpiry);
    this.idleSince = now;
  }

  /** The name that the cloud gave it. */
  public MachineId id() {
    return id;
  }

  // ---- parts ------------------------------------------------------------------------------------

  /** Its life at the cloud. */
  public CloudStatus cloud() {
    return cloud;
  }

  /** Its worker agent, by the agent's messages. */
  public AgentState agent() {
    return agent;
  }

  /** Whether it is fit for tasks. */
  public MachineHealth health() {
    return health;
  }

  /** Commands that wait to be sent to its worker. */
  public CommandOutbox outbox() {
    return outbox;
  }

  /** Direct starts that may still arrive at its worker. */
  public OutstandingStarts outstandingStarts() {
    return outstandingStarts;
  }

  // ---- what it is -------------------------------------------------------------------------------

  /** Its type, zone and kind. */
  public MachineDescription description() {
    return description;
  }

  /** Its type, zone and kind have become known, or differ from what was known. */
  public void describe(MachineDescription known) {
    description = known;
    invalidateView();
  }

  /** It was provisioned at this time at the latest. */
  public void provisionedAt(SteadyTime at) {
    cloud.provisionedAt(at);
    invalidateView();
  }

  // ---- tasks and images -------------------------------------------------------------------------

  /** Its tasks by the newest message of its worker. */
  public List<TaskStatus> tasks() {
    return tasks;
  }

  /** Replaces its tasks. */
  void tasks(List<TaskStatus> shown) {
    tasks = shown;
    tasksRevision++;
    invalidateView();
  }

  /** Counts the changes of its tasks. */
  public long tasksRevision() {
    return tasksRevision;
  }

  /** The images that it is known to hold or to fetch. */
  public Set<String> images() {
    return images.names();
  }

  /** Whether it is known to hold or to fetch an image. */
  public boolean hasImage(String image) {
    return images.contains(image);
  }

  /**
   * It uses an image, which drops those that were not used for longest.
   *
   * @param cacheGb how much its type keeps
   */
  public void useImage(String image, double sizeGb, double cacheGb) {
    if (images.use(image, sizeGb, cacheGb)) {
      invalidateView();
    }
  }

  /** Since when no attempt has been open on it. */
  public SteadyTime idleSince() {
    return idleSince;
  }

  /** No attempt is open on it from now on. */
  public void markIdle(SteadyTime now) {
    idleSince = now;
    invalidateView();
  }

  // ---- reservations -----------------------------------------------------------------------------

  /** Room kept on it, as a live view that can't be changed. */
  public List<Reservation> reservations() {
    return Collections.unmodifiableList(reservations);
  }

  /** Keeps room on it for a job. */
  public void reserve(Reservation reservation) {
    reservations.add(reservation);
    invalidateView();
  }

  /** Drops one reservation of a job, if there is any. */
  public void dropReservation(JobId job) {
    for (int i = 0; i < reservations.size(); i++) {
      if (reservations.get(i).job().equals(job)) {
        reservations.remove(i);
        invalidateView();
        return;
      }
    }
  }

  /** Drops the reservations whose time is over, and tells whether there were any. */
  public boolean expireReservations(SteadyTime now) {
    boolean expired =
        !reservations.isEmpty() && reservations.removeIf(kept -> kept.until().isBefore(now));
    if (expired) {
      invalidateView();
    }
    return expired;
  }

  // ---- view -------------------------------------------------------------------------------------

  /** Something that the planner is shown of it has changed. */
  public void invalidateView() {
    view = null;
  }

  /**
   * What the planner is shown of it.
   *
   * @param ready whether tasks may be placed on it now
   * @param build makes the view where the cached one is out of date
   */
  public Snapshot.MachineView view(boolean ready, Supplier<Snapshot.MachineView> build) {
    if (view == null || view.ready() != ready) {
      view = build.get();
    }
    return view;
  }
}
