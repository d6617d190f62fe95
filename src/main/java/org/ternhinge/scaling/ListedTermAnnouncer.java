package org.ternhinge.scaling;

import java.util.HashSet;
import java.util.Set;
import org.ternhinge.attempt.CommandDispatcher;
import org.ternhinge.attempt.TermAnnouncer;
import org.ternhinge.config.Settings;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.ListedMachine;

/**
 * Decides to which listed machines the term is announced before they send a heartbeat. Guarded by
 * the controller's lock.
 *
 * <p>The term is announced to one worker of each zone as soon as it is listed: an earlier leader
 * that can't renew its lease continues to answer heartbeats for a while, and its workers stay with
 * it. That leader steps down at the first heartbeat with this term. Most other workers find the new
 * leader by themselves; the term is announced to the rest after a while, to few at a time, since a
 * new leader has more urgent work than calling hundreds of machines.
 */
public final class ListedTermAnnouncer {
  /** One in this many free slots for commands may be used for announcements. */
  private static final int SLOTS_PER_ANNOUNCEMENT = 2;

  /** Heartbeat intervals in which workers can find a new leader by themselves. */
  private static final int HEARTBEATS_AWAITED = 2;

  private final CommandDispatcher dispatcher;
  private final TermAnnouncer termAnnouncer;
  private final SteadyTime electedAt;
  private final double awaitedS;

  /** Zones, by index, in which the term was announced to a worker. */
  private final Set<Integer> announcedZones = new HashSet<>();

  /** Announcements that may still be made for the current listing. */
  private int announcementsLeft;

  /** Creates an announcer that has made no announcement. */
  public ListedTermAnnouncer(
      LeadershipContext context, CommandDispatcher dispatcher, TermAnnouncer termAnnouncer) {
    Settings.WorkerTimings workers = context.services().settings().workers();
    this.awaitedS = HEARTBEATS_AWAITED * workers.heartbeatIntervalS();
    this.electedAt = context.electedAt();
    this.dispatcher = dispatcher;
    this.termAnnouncer = termAnnouncer;
  }

  /** Determines how many announcements a new listing permits. */
  void beginListing(SteadyTime now) {
    announcementsLeft =
        now.secondsSince(electedAt) < awaitedS
            ? 0
            : dispatcher.freeSlots() / SLOTS_PER_ANNOUNCEMENT;
  }

  /** Announces the term to the worker of a listed machine, if that is due. */
  void announceIfDue(Machine machine, ListedMachine listed) {
    int zone = machine.description().zone();
    boolean due = announcementsLeft > 0 || !announcedZones.contains(zone);
    if (machine.agent().isTermAnnounced() || !due || !termAnnouncer.announce(machine, listed)) {
      return;
    }
    machine.agent().markTermAnnounced();
    announcedZones.add(zone);
    announcementsLeft--;
  }
}
