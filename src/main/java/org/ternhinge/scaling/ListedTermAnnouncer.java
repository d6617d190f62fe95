package org.ternhinge.scaling;

import java.util.HashSet;
import java.util.Set;
import org.ternhinge.attempt.CommandDispatcher;
import org.ternhinge.attempt.TermAnnouncer;
import org.ternhinge.config.Settings;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.ListedMachine;

/**
 * Selects the listed machines to which the leader announces its term before their first heartbeat.
 * Guarded by the controller's lock.
 *
 * <p>The term is announced to one worker per zone as soon as it is listed. A former leader that
 * cannot renew its lease may still answer heartbeats for a while, which keeps its workers from
 * looking for the new leader; it steps down at the first heartbeat that carries the higher term.
 * Most other workers discover the new leader on their own. The remaining ones are contacted after a
 * delay and at a limited rate, since a new leader has more urgent work than calling hundreds of
 * machines.
 */
public final class ListedTermAnnouncer {
  /** Announcements may use one in this many free command slots. */
  private static final int SLOTS_PER_ANNOUNCEMENT = 2;

  /** Heartbeat intervals during which workers may discover a new leader on their own. */
  private static final int DISCOVERY_HEARTBEATS = 2;

  private final CommandDispatcher dispatcher;
  private final TermAnnouncer termAnnouncer;
  private final MonotonicTime electedAt;
  private final double discoveryPeriodS;

  /** Indexes of the zones in which the term was announced to a worker. */
  private final Set<Integer> announcedZones = new HashSet<>();

  /** Announcements still permitted for the current listing. */
  private int remainingAnnouncements;

  /** Creates an announcer without any announcements made. */
  public ListedTermAnnouncer(
      LeadershipContext context, CommandDispatcher dispatcher, TermAnnouncer termAnnouncer) {
    Settings.WorkerTimings workers = context.services().settings().workers();
    this.discoveryPeriodS = DISCOVERY_HEARTBEATS * workers.heartbeatIntervalS();
    this.electedAt = context.electedAt();
    this.dispatcher = dispatcher;
    this.termAnnouncer = termAnnouncer;
  }

  /** Sets the number of announcements that a new listing permits. */
  void beginListing(MonotonicTime now) {
    remainingAnnouncements =
        now.secondsSince(electedAt) < discoveryPeriodS
            ? 0
            : dispatcher.freeSlots() / SLOTS_PER_ANNOUNCEMENT;
  }

  /** Announces the term to the worker of a listed machine if an announcement is due. */
  void announceIfDue(Machine machine, ListedMachine listed) {
    int zone = machine.description().zone();
    boolean due = remainingAnnouncements > 0 || !announcedZones.contains(zone);
    if (machine.agent().isTermAnnounced() || !due || !termAnnouncer.announce(machine, listed)) {
      return;
    }
    machine.agent().markTermAnnounced();
    announcedZones.add(zone);
    remainingAnnouncements--;
  }
}
