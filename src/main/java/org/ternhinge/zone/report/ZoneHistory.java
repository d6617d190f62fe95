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

/** What has become of zones and of their work, put together from the events of a log. */
final class ZoneHistory {
  /** A zone was in a state from one time to another. */
  record Interval(String zone, ZoneState state, long fromMillis, long toMillis) {}

  /** Tasks of a tier got new attempts. */
  record Move(long atMillis, String job, String tier, int tasks, double waitedS) {}

  /** Tasks started in a zone that had returned. */
  record Starts(long atMillis, String zone, int step, int tasks) {}

  /** A job waited, or still does. */
  record Wait(
      long atMillis, String job, String tier, String tasks, String reason, double waitedS) {}

  /** A task that got another attempt although its last one was not proved over. */
  record Doubled(long atMillis, String task) {}

  /** What a tier owed and what of it has moved. */
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
  private final List<Wait> waits = new ArrayList<>();
  private final List<Doubled> doubled = new ArrayList<>();
  private final Map<String, TierTotals> tiers = new LinkedHashMap<>();

  /** Tasks whose attempts are proved over and that have no new one. */
  private final Set<String> displacedTasks = new HashSet<>();

  private final Map<String, ZoneState> states = new TreeMap<>();
  private final Map<String, Long> stateSince = new HashMap<>();
  private final long fromMillis;
  private final long toMillis;

  /** Puts a log's events together. */
  ZoneHistory(List<ZoneLog.Entry> events) {
    this.fromMillis = events.isEmpty() ? 0 : events.get(0).atMillis();
    this.toMillis = events.isEmpty() ? 0 : events.get(events.size() - 1).atMillis();
    events.forEach(this::take);
    states.forEach((zone, state) -> endState(zone, state, toMillis));
  }

  private void take(ZoneLog.Entry entry) {
    if (entry.event() instanceof ZoneEvent.StateChanged changed) {
      stateChanged(entry.atMillis(), changed);
    } else if (entry.event() instanceof ZoneEvent.ReturnStarts returned) {
      starts.add(new Starts(entry.atMillis(), returned.zone(), returned.step(), returned.starts()));
    } else if (entry.event() instanceof ZoneEvent.WorkChanged work) {
      workChanged(entry.atMillis(), work);
    }
  }

  private void stateChanged(long atMillis, ZoneEvent.StateChanged changed) {
    ZoneState before = states.put(changed.zone(), changed.to());
    endState(changed.zone(), before == null ? changed.from() : before, atMillis);
    stateSince.put(changed.zone(), atMillis);
  }

  private void endState(String zone, ZoneState state, long atMillis) {
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
        tasks.forEach(task -> displacedTasks.add(name(work.job(), task)));
      }
      case MOVED -> {
        totals.moved += tasks.size();
        totals.longestWaitS = Math.max(totals.longestWaitS, work.waitedS());
        moves.add(new Move(atMillis, work.job(), work.tier(), tasks.size(), work.waitedS()));
        tasks.forEach(task -> moved(atMillis, name(work.job(), task)));
      }
      case DELAYED ->
          waits.add(
              new Wait(
                  atMillis, work.job(), work.tier(), work.tasks(), work.reason(), work.waitedS()));
      default -> {
        // Released tasks are on their way: their move shows when.
      }
    }
  }

  private static String name(String job, int task) {
    return job + "/" + task;
  }

  private void moved(long atMillis, String task) {
    if (!displacedTasks.remove(task)) {
      doubled.add(new Doubled(atMillis, task));
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

  List<Wait> waits() {
    return waits;
  }

  List<Doubled> doubled() {
    return doubled;
  }

  Map<String, TierTotals> tiers() {
    return tiers;
  }

  /** The zones of which the log says anything. */
  Set<String> zones() {
    return states.keySet();
  }
}
