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
 * <p>The planner's view of the machine is cached. Every method that changes a property used by the
 * view invalidates it. Callers that change attempts on the machine have to call {@link
 * #invalidateView}.
 */
public final class Machine {

  /**
   * Resources that are reserved for a job for which tasks of other jobs were preempted.
   *
   * @param job the job that may use the resources
   * @param resources the resources of one task
   * @param until when the reservation expires
   */
  public record Reservation(JobId job, Resources resources, MonotonicTime until) {}

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

  /** Cached planner's view; null if it is invalid. */
  private Snapshot.MachineView view;

  /**
   * Creates a machine of which only the name is known.
   *
   * @param leaseExpiry latest possible expiry of the lease of its worker
   */
  Machine(MachineId id, MonotonicTime now, MonotonicTime leaseExpiry) {
    this.id = id;
    this.cloud = new CloudStatus(now);
    this.agent = new AgentState(leaseExpiry);
    this.idleSince = now;
  }

  /** Returns the name assigned by the cloud. */
  public MachineId id() {
    return id;
  }

  // ---- components -------------------------------------------------------------------------------

  /** Returns the status of the machine as reported by the cloud. */
  public CloudStatus cloud() {
    return cloud;
  }

  /** Returns the state of the worker agent. */
  public AgentState agent() {
    return agent;
  }

  /** Returns the health state that decides whether tasks may be placed on the machine. */
  public MachineHealth health() {
    return health;
  }

  /** Returns the queue of commands to the worker. */
  public CommandOutbox outbox() {
    return outbox;
  }

  /** Returns the direct start commands that the worker may still execute. */
  public OutstandingStarts outstandingStarts() {
    return outstandingStarts;
  }

  // ---- description ------------------------------------------------------------------------------

  /** Returns the type and zone of the machine and whether it is a spot machine. */
  public MachineDescription description() {
    return description;
  }

  /** Sets the description of the machine. */
  public void setDescription(MachineDescription newDescription) {
    description = newDescription;
    invalidateView();
  }

  /** Sets the upper bound of the provision time. */
  public void setProvisionedAt(MonotonicTime at) {
    cloud.setProvisionedAt(at);
    invalidateView();
  }

  // ---- tasks and images -------------------------------------------------------------------------

  /** Returns the tasks listed in the newest message of the worker. */
  public List<TaskStatus> tasks() {
    return tasks;
  }

  /** Replaces the tasks listed by the worker. */
  void setTasks(List<TaskStatus> listed) {
    tasks = listed;
    tasksRevision++;
    invalidateView();
  }

  /** Returns how many times the tasks were replaced. */
  public long tasksRevision() {
    return tasksRevision;
  }

  /** Returns the images known to be present or being pulled, as an unmodifiable copy. */
  public Set<String> images() {
    return images.names();
  }

  /** Returns whether an image is known to be present or being pulled. */
  public boolean hasImage(String image) {
    return images.contains(image);
  }

  /**
   * Records the use of an image, which may evict the least recently used ones.
   *
   * @param sizeGb size of the image in GB
   * @param cacheGb image cache capacity of the machine type in GB
   */
  public void recordImageUse(String image, double sizeGb, double cacheGb) {
    if (images.use(image, sizeGb, cacheGb)) {
      invalidateView();
    }
  }

  /** Returns the time since which the machine has had no open attempt. */
  public MonotonicTime idleSince() {
    return idleSince;
  }

  /** Records that the machine has no open attempt from now on. */
  public void markIdle(MonotonicTime now) {
    idleSince = now;
    invalidateView();
  }

  // ---- reservations -----------------------------------------------------------------------------

  /** Returns the reservations on the machine as an unmodifiable live view. */
  public List<Reservation> reservations() {
    return Collections.unmodifiableList(reservations);
  }

  /** Adds a reservation. */
  public void reserve(Reservation reservation) {
    reservations.add(reservation);
    invalidateView();
  }

  /** Removes the oldest reservation of a job, if any. */
  public void removeReservation(JobId job) {
    for (int i = 0; i < reservations.size(); i++) {
      if (reservations.get(i).job().equals(job)) {
        reservations.remove(i);
        invalidateView();
        return;
      }
    }
  }

  /** Removes the expired reservations and returns whether there were any. */
  public boolean removeExpiredReservations(MonotonicTime now) {
    boolean expired =
        !reservations.isEmpty()
            && reservations.removeIf(reservation -> reservation.until().isBefore(now));
    if (expired) {
      invalidateView();
    }
    return expired;
  }

  // ---- view -------------------------------------------------------------------------------------

  /** Discards the cached view after a change of the machine or of its attempts. */
  public void invalidateView() {
    view = null;
  }

  /**
   * Returns the planner's view of the machine, which is rebuilt if the cached one is invalid.
   *
   * @param ready whether tasks may be placed on the machine now
   * @param build builds the view
   */
  public Snapshot.MachineView view(boolean ready, Supplier<Snapshot.MachineView> build) {
    if (view == null || view.ready() != ready) {
      view = build.get();
    }
    return view;
  }
}
