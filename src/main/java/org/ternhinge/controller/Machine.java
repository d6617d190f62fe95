package org.ternhinge.controller;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.Session;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.Term;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.TaskReport;

/** What the leader knows of one machine. Guarded by the controller's lock. */
final class Machine {

  /** Room kept for a job after others were stopped for it. */
  record Reservation(JobId job, Resources room, SteadyTime until) {}

  final MachineId id;
  String type;
  int zone = -1;
  String zoneName;
  boolean spot;
  Endpoint endpoint;
  String endpointText;

  Session session = Session.NONE;

  /** Sessions up to this one have ended for certain. */
  Session deadSession = Session.NONE;

  long sequence = -1;
  Term token = Term.NONE;
  boolean reported;
  SteadyTime lastReport;

  /** Past this time the worker has killed what it ran, unless it was answered since. */
  SteadyTime leaseEnds;

  SteadyTime noticeAt;
  boolean releasing;
  boolean gone;
  SteadyTime rentedAt;

  /** When a list last showed it, or null. */
  SteadyTime listedAt;

  /** Whether the last list that showed it said that it is up. */
  boolean listedUp;

  /** Whether it was told of this term without having reported. */
  boolean greeted;

  SteadyTime idleSince;

  final CommandReachability commandReachability = new CommandReachability();

  /** The term that a report of it was last answered in, or null. */
  Term answered;

  /** Its tasks by its newest message. */
  List<TaskReport> tasks = List.of();

  /** Counts its messages that were newer than all before. */
  long messages;

  /** The message that changed its tasks last. */
  long shownIn;

  /** What the planner is shown of it, or null when something has changed since. */
  Snapshot.MachineView view;

  final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);
  final List<Reservation> reservations = new ArrayList<>();

  /** Direct starts whose answers were lost: such a start may still arrive. */
  final Object2IntOpenHashMap<String> outstandingStarts = new Object2IntOpenHashMap<>();

  /**
   * Outstanding starts of an older term; none can arrive once the worker has shown the fencing
   * term.
   */
  final Object2IntOpenHashMap<String> fencedStarts = new Object2IntOpenHashMap<>();

  Term fence = Term.NONE;

  final ArrayDeque<Command> outbox = new ArrayDeque<>();
  boolean orderInFlight;
  SteadyTime directAfter;

  int errorsInARow;
  final Set<JobId> errorJobs = new HashSet<>();
  SteadyTime sickUntil;
  SteadyTime noRoomUntil;

  Machine(MachineId id, SteadyTime now, SteadyTime leaseEnds) {
    this.id = id;
    this.leaseEnds = leaseEnds;
    this.idleSince = now;
    this.rentedAt = now;
  }

  static String key(TaskReport t) {
    return t.task() + "#" + t.attempt();
  }

  static String key(Attempt a) {
    return a.task() + "#" + a.number();
  }

  static String key(Command c) {
    return c.task() + "#" + c.attempt();
  }

  /** The term was raised: the starts outstanding so far are of an older one. */
  void fenceOutstandingStarts(Term by) {
    fencedStarts.clear();
    fencedStarts.putAll(outstandingStarts);
    fence = by;
  }

  /** The worker has shown a token. */
  void sawToken(Term shown) {
    if (!fencedStarts.isEmpty() && shown.compareTo(fence) >= 0) {
      fencedStarts
          .object2IntEntrySet()
          .forEach(
              e -> {
                if (outstandingStarts.addTo(e.getKey(), -e.getIntValue()) <= e.getIntValue()) {
                  outstandingStarts.removeInt(e.getKey());
                }
              });
      fencedStarts.clear();
    }
  }

  void forgetOutstandingStarts() {
    outstandingStarts.clear();
    fencedStarts.clear();
  }

  boolean sick(SteadyTime now) {
    return sickUntil != null && now.isBefore(sickUntil);
  }

  /** Remembers an image that the machine has, dropping the ones unused longest. */
  void hasImage(String image, double gb, double cacheGb) {
    if (images.put(image, gb) != null) {
      return;
    }
    view = null;
    double sum = 0;
    for (double size : images.values()) {
      sum += size;
    }
    var it = images.entrySet().iterator();
    while (sum > cacheGb && it.hasNext()) {
      var eldest = it.next();
      if (eldest.getKey().equals(image)) {
        break;
      }
      sum -= eldest.getValue();
      it.remove();
    }
  }
}
