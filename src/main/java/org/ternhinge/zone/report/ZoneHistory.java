package org.ternhinge.zone.report;

import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ternhinge.model.TaskRanges;
import org.ternhinge.zone.ZoneEvent;
import org.ternhinge.zone.ZoneState;

/** The states of zones and the steps of displaced tasks over time, collected from logged events. */
final class ZoneHistory {
  /** A time interval during which a zone was in one state. */
  record Interval(String zone, ZoneState state, long fromMillis, long toMillis) {}

  /** New attempts of displaced tasks of a job. */
  record Move(long atMillis, String job, String tier, int tasks, double waitedS) {}

  /** Task starts in a recovering zone. */
  record Starts(long atMillis, String zone, int step, int tasks) {}

  /** A delay of a job's displaced tasks. */
  record Delay(
      long atMillis, String job, String tier, String tasks, String reason, double waitedS) {}

  /** A task that got a new attempt although its previous one was not known to have ended. */
  record DuplicateAttempt(long atMillis, String task) {}

  /** The numbers of displaced and moved tasks of a tier. */
  static final class TierTotals {
    private int displaced;
    private int moved;
    private double longestWaitS;

    int displaced() {
      return displaced;
    }

    int moved() {
      return moved;
    }

    double longestWaitS() {
      return longestWaitS;
    }
  }

  private final List<Interval> intervals = new ArrayList<>();
  private final List<Move> moves = new ArrayList<>();
  private final List<Starts> starts = new ArrayList<>();
  private final List<Delay> delays = new ArrayList<>();
  private final List<DuplicateAttempt> duplicateAttempts = new ArrayList<>();
  private final Map<String, TierTotals> tiers = new LinkedHashMap<>();

  /** Displaced tasks without a new attempt. */
  private final Set<String> displacedTasks = new HashSet<>();

  private final Map<String, ZoneState> states = new TreeMap<>();
  private final Map<String, Long> stateSince = new HashMap<>();
  private final long fromMillis;
  private final long toMillis;

  /** Creates the history from events in chronological order. */
  ZoneHistory(List<ZoneLog.Entry> events) {
    this.fromMillis = events.isEmpty() ? 0 : events.get(0).atMillis();
    this.toMillis = events.isEmpty() ? 0 : events.get(events.size() - 1).atMillis();
    events.forEach(this::add);
    states.forEach((zone, state) -> closeInterval(zone, state, toMillis));
  }

  private void add(ZoneLog.Entry entry) {
    if (entry.event() instanceof ZoneEvent.StateChanged changed) {
      stateChanged(entry.atMillis(), changed);
    } else if (entry.event() instanceof ZoneEvent.RecoveryStarts started) {
      starts.add(new Starts(entry.atMillis(), started.zone(), started.step(), started.starts()));
    } else if (entry.event() instanceof ZoneEvent.WorkChanged work) {
      workChanged(entry.atMillis(), work);
    }
  }

  private void stateChanged(long atMillis, ZoneEvent.StateChanged changed) {
    ZoneState before = states.put(changed.zone(), changed.to());
    closeInterval(changed.zone(), before == null ? changed.from() : before, atMillis);
    stateSince.put(changed.zone(), atMillis);
  }

  private void closeInterval(String zone, ZoneState state, long atMillis) {
    long since = stateSince.getOrDefault(zone, fromMillis);
    if (atMillis > since) {
      intervals.add(new Interval(zone, state, since, atMillis));
    }
  }

  private void workChanged(long atMillis, ZoneEvent.WorkChanged work) {
    TierTotals totals = tiers.computeIfAbsent(work.tier(), tier -> new TierTotals());
    IntList tasks = TaskRanges.decode(work.tasks());
    switch (work.step()) {
      case DISPLACED -> {
        totals.displaced += tasks.size();
        tasks.forEach(task -> displacedTasks.add(taskName(work.job(), task)));
      }
      case MOVED -> {
        totals.moved += tasks.size();
        totals.longestWaitS = Math.max(totals.longestWaitS, work.waitedS());
        moves.add(new Move(atMillis, work.job(), work.tier(), tasks.size(), work.waitedS()));
        tasks.forEach(task -> recordMove(atMillis, taskName(work.job(), task)));
      }
      case DELAYED ->
          delays.add(
              new Delay(
                  atMillis, work.job(), work.tier(), work.tasks(), work.reason(), work.waitedS()));
      default -> {
        // A release is followed by a move, which shows when the tasks got new attempts.
      }
    }
  }

  private static String taskName(String job, int task) {
    return job + "/" + task;
  }

  private void recordMove(long atMillis, String task) {
    if (!displacedTasks.remove(task)) {
      duplicateAttempts.add(new DuplicateAttempt(atMillis, task));
    }
  }

  long fromMillis() {
    return fromMillis;
  }

  long toMillis() {
    return toMillis;
  }

  List<Interval> intervals() {
    return intervals;
  }

  List<Move> moves() {
    return moves;
  }

  List<Starts> starts() {
    return starts;
  }

  List<Delay> delays() {
    return delays;
  }

  List<DuplicateAttempt> duplicateAttempts() {
    return duplicateAttempts;
  }

  Map<String, TierTotals> tiers() {
    return tiers;
  }

  /** Returns the zones with a state change in the log. */
  Set<String> zones() {
    return states.keySet();
  }
}
