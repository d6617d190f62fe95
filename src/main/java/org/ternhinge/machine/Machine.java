package org.ternhinge.machine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.TaskStatus;

/**
 * The state of one machine, except for its attempts, which the ledger holds. Guarded by the
 * controller's lock.
 *
 * <p>The planner's view of the machine is cached. Every method that changes a property in the view
 * invalidates the cached view; whoever changes attempts on the machine has to call {@link
 * #invalidateView}.
 */
public final class Machine {

  /**
   * Room that is kept free for a job for which tasks of others were preempted.
   *
   * @param job the job that may use the room
   * @param room the size of the room for one task
   * @param until when the reservation expires
   */
  public record Reservation(JobId job, Resources room, MonotonicTime until) {}

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
  private MonotonicTime idleSince;

  /** The planner's cached view; null where it is out of date. */
  private Snapshot.MachineView view;

  /**
   * Creates a machine of which only the name is known.
   *
   * @param leaseExpiry latest expiry of the lease of its worker
   */
  Machine(MachineId id, MonotonicTime now, MonotonicTime leaseExpiry) {
    this.id = id;
    this.cloud = new CloudStatus(now);
    this.agent = new AgentState(leaseExpiry);
    this.idleSince = now;
  }

  /** The name that the cloud has assigned. */
  public MachineId id() {
    return id;
  }

  // ---- components -------------------------------------------------------------------------------

  /** Its status at the cloud. */
  public CloudStatus cloud() {
    return cloud;
  }

  /** The state of its worker agent. */
  public AgentState agent() {
    return agent;
  }

  /** Its fitness for tasks. */
  public MachineHealth health() {
    return health;
  }

  /** The commands that wait to be sent to its worker. */
  public CommandOutbox outbox() {
    return outbox;
  }

  /** Direct starts that may still arrive at its worker. */
  public OutstandingStarts outstandingStarts() {
    return outstandingStarts;
  }

  // ---- description ------------------------------------------------------------------------------

  /** Its type, its zone and whether it is a spot instance. */
  public MachineDescription description() {
    return description;
  }

  /** Replaces its description. */
  public void describe(MachineDescription known) {
    description = known;
    invalidateView();
  }

  /** Sets the latest time at which it can have been provisioned. */
  public void provisionedAt(MonotonicTime at) {
    cloud.provisionedAt(at);
    invalidateView();
  }

  // ---- tasks and images -------------------------------------------------------------------------

  /** Its tasks as the newest message of its worker lists them. */
  public List<TaskStatus> tasks() {
    return tasks;
  }

  /** Replaces its tasks. */
  void tasks(List<TaskStatus> shown) {
    tasks = shown;
    tasksRevision++;
    invalidateView();
  }

  /** Number of times that its tasks were replaced. */
  public long tasksRevision() {
    return tasksRevision;
  }

  /** The images that it is known to hold or to fetch, as an unmodifiable copy. */
  public Set<String> images() {
    return images.names();
  }

  /** Whether it is known to hold or to fetch an image. */
  public boolean hasImage(String image) {
    return images.contains(image);
  }

  /**
   * Records the use of an image, which may evict the least recently used ones.
   *
   * @param sizeGb size of the image in GB
   * @param cacheGb capacity of the image cache of its type in GB
   */
  public void useImage(String image, double sizeGb, double cacheGb) {
    if (images.use(image, sizeGb, cacheGb)) {
      invalidateView();
    }
  }

  /** Since when no attempt has been open on it. */
  public MonotonicTime idleSince() {
    return idleSince;
  }

  /** No attempt is open on it from now on. */
  public void markIdle(MonotonicTime now) {
    idleSince = now;
    invalidateView();
  }

  // ---- reservations -----------------------------------------------------------------------------

  /** The reservations on it, as an unmodifiable live view. */
  public List<Reservation> reservations() {
    return Collections.unmodifiableList(reservations);
  }

  /** Adds a reservation. */
  public void reserve(Reservation reservation) {
    reservations.add(reservation);
    invalidateView();
  }

  /** Removes the oldest reservation of a job, if there is any. */
  public void dropReservation(JobId job) {
    for (int i = 0; i < reservations.size(); i++) {
      if (reservations.get(i).job().equals(job)) {
        reservations.remove(i);
        invalidateView();
        return;
      }
    }
  }

  /** Removes the expired reservations, and returns whether there were any. */
  public boolean expireReservations(MonotonicTime now) {
    boolean expired =
        !reservations.isEmpty()
            && reservations.removeIf(reservation -> reservation.until().isBefore(now));
    if (expired) {
      invalidateView();
    }
    return expired;
  }

  // ---- view -------------------------------------------------------------------------------------

  /** Discards the cached view, since attempts on the machine or its state have changed. */
  public void invalidateView() {
    view = null;
  }

  /**
   * The planner's view of it, which is built again where the cached one is out of date.
   *
   * @param ready whether tasks may be placed on it now
   * @param build builds the view
   */
  public Snapshot.MachineView view(boolean ready, Supplier<Snapshot.MachineView> build) {
    if (view == null || view.ready() != ready) {
      view = build.get();
    }
    return view;
  }
}
