package org.ternhinge.controller;

import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Resources;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.TaskStatus;

/**
 * What the leader knows of one machine: from its heartbeats, from the cloud's lists, and of what it
 * was told. Attempts are not among it, they are the ledger's. Guarded by the controller's lock.
 *
 * <p>Whoever changes anything that the planner is shown sets {@link #view} to null.
 */
final class Machine {

  /** Room kept for a job after others were stopped for it. */
  record Reservation(JobId job, Resources room, SteadyTime until) {}

  final MachineId id;

  // ---- what it is -----------------------------------------------------------------------------

  /** Name of its machine type, or null while that is not known. */
  String type;

  /** Index of its zone among the settings' zones; negative while unknown. */
  int zone = -1;

  String zoneName;
  boolean spot;

  /** Where it takes direct commands, or null before its first heartbeat. */
  Endpoint endpoint;

  /** The endpoint as reported, to be compared without reading it again. */
  String endpointText;

  // ---- its worker, by its messages ----------------------------------------------------------

  AgentEpoch epoch = AgentEpoch.NONE;

  /** Epochs up to this one have ended for certain. */
  AgentEpoch lastEndedEpoch = AgentEpoch.NONE;

  /** Number of its newest message in this epoch. */
  long sequence = -1;

  /** The highest term that the worker has shown. */
  Term fencingToken = Term.NONE;

  /** Whether any message of it has come in this leadership. */
  boolean heartbeatReceived;

  SteadyTime lastHeartbeat;

  /** Past this time the worker has killed what it ran, unless it was answered since. */
  SteadyTime leaseEnds;

  /** When the cloud takes it, by its own notice, or null. */
  SteadyTime reclaimAt;

  /** Whether its return has been asked for. */
  boolean releasing;

  /** Whether it is certainly gone: its name never comes back. */
  boolean terminated;

  SteadyTime provisionedAt;

  /** When this leadership first heard of it; it was provisioned before. */
  final SteadyTime knownSince;

  /** When a list last showed it, or null. */
  SteadyTime listedAt;

  /** Whether the last list that showed it said that it is up. */
  boolean listedUp;

  /** Whether it was told of this term without having reported. */
  boolean termAnnounced;

  /** Since when no attempt has been open on it. */
  SteadyTime idleSince;

  /** Whether what it is told reaches it. */
  final CommandReachability reachability = new CommandReachability();

  /** The term that a heartbeat of it was last answered in, or null. */
  Term answered;

  /** Its tasks by its newest message. */
  List<TaskStatus> tasks = List.of();

  /** Counts its messages that were newer than all before. */
  long messages;

  /** The message that changed its tasks last. */
  long shownIn;

  /** What the planner is shown of it, or null when something has changed since. */
  Snapshot.MachineView view;

  /** Images that it holds or fetches, with their sizes in GB, the one unused longest first. */
  final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);

  final List<Reservation> reservations = new ArrayList<>();

  /** Direct starts whose answers were lost: such a start may still arrive. */
  final Object2IntOpenHashMap<String> outstandingStarts = new Object2IntOpenHashMap<>();

  /** Those of an older term; none can arrive once the worker has shown the fencing term. */
  final Object2IntOpenHashMap<String> fencedStarts = new Object2IntOpenHashMap<>();

  /** A worker that has shown this term refuses the fenced starts. */
  Term fence = Term.NONE;

  // ---- what it is told ----------------------------------------------------------------------

  /** Commands that wait to be sent directly. */
  final ArrayDeque<Command> outbox = new ArrayDeque<>();

  boolean commandsInFlight;

  /** Until then it is told nothing directly, since a message failed; null where none has. */
  SteadyTime directAfter;

  // ---- failures -----------------------------------------------------------------------------

  /** Failures of tasks since one was last done here. */
  final MachineFailures failures = new MachineFailures();

  /** Until then it is quarantined because tasks fail on it; null where they don't. */
  SteadyTime quarantinedUntil;

  /** Until then nothing is placed on it, since it had no room for a task; null where it had. */
  SteadyTime noRoomUntil;

  Machine(MachineId id, SteadyTime now, SteadyTime leaseEnds) {
    this.id = id;
    this.leaseEnds = leaseEnds;
    this.knownSince = now;
    this.idleSince = now;
    this.provisionedAt = now;
  }

  /** Key of an attempt among the outstanding starts. */
  static String key(TaskStatus heartbeat) {
    return key(heartbeat.task(), heartbeat.attempt());
  }

  /** Key of an attempt among the outstanding starts. */
  static String key(Attempt attempt) {
    return key(attempt.task(), attempt.number());
  }

  /** Key of a command's attempt among the outstanding starts. */
  static String key(Command command) {
    return key(command.task(), command.attempt());
  }

  private static String key(TaskId task, AttemptNumber attempt) {
    return task + "#" + attempt;
  }

  /** The term was raised: the outstanding starts so far are of an older one. */
  void fenceOutstandingStarts(Term raised) {
    fencedStarts.clear();
    fencedStarts.putAll(outstandingStarts);
    fence = raised;
  }

  /** The worker has shown a fencing token: starts that it refuses from now on are outstanding no more. */
  void observeFencingToken(Term shown) {
    if (fencedStarts.isEmpty() || shown.compareTo(fence) < 0) {
      return;
    }
    for (Object2IntMap.Entry<String> fenced : fencedStarts.object2IntEntrySet()) {
      int count = fenced.getIntValue();
      if (outstandingStarts.addTo(fenced.getKey(), -count) <= count) {
        outstandingStarts.removeInt(fenced.getKey());
      }
    }
    fencedStarts.clear();
  }

  /** Nothing sent to an earlier epoch can have an effect any more. */
  void forgetOutstandingStarts() {
    outstandingStarts.clear();
    fencedStarts.clear();
  }

  /** Whether it is quarantined because tasks fail on it. */
  boolean isQuarantined(SteadyTime now) {
    return quarantinedUntil != null && now.isBefore(quarantinedUntil);
  }

  /** Remembers an image that the machine has, dropping the ones unused longest. */
  void hasImage(String image, double gb, double cacheGb) {
    if (images.put(image, gb) != null) {
      return;
    }
    view = null;
    double usedGb = 0;
    for (double sizeGb : images.values()) {
      usedGb += sizeGb;
    }
    var entries = images.entrySet().iterator();
    while (usedGb > cacheGb && entries.hasNext()) {
      var eldest = entries.next();
      if (eldest.getKey().equals(image)) {
        break;
      }
      usedGb -= eldest.getValue();
      entries.remove();
    }
  }
}
