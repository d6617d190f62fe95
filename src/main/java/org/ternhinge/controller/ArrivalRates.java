package org.ternhinge.controller;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.config.Objective;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.JobSpec;

/**
 * How often jobs of a class arrive, so that room can be kept for those whose users expect a start
 * sooner than a machine comes up.
 */
final class ArrivalRates {
  /** Arrivals are counted over this time; long against a boot, short against a day. */
  private static final double WINDOW_S = 180;

  /** Room is kept for the arrivals of about the time that renting takes. */
  private static final double AHEAD_S = 45;

  private record Arrival(JobSpec spec, SteadyTime at) {}

  private final Map<String, Double> withinS = new HashMap<>();
  private final Map<String, ArrayDeque<Arrival>> recent = new HashMap<>();

  ArrivalRates(List<Objective> objectives) {
    for (Objective o : objectives) {
      if (o.kind().equals("wait") && o.jobClass() != null) {
        withinS.merge(o.jobClass(), o.withinS(), Math::min);
      }
    }
  }

  void saw(JobSpec spec, SteadyTime at) {
    if (withinS.containsKey(spec.jobClass()) && withinS.get(spec.jobClass()) < AHEAD_S) {
      recent.computeIfAbsent(spec.jobClass(), k -> new ArrayDeque<>()).add(new Arrival(spec, at));
    }
  }

  /** Jobs as they may come next, like the latest ones of their class. */
  List<Snapshot.JobView> spares(SteadyTime now, int zones) {
    List<Snapshot.JobView> out = new ArrayList<>();
    for (ArrayDeque<Arrival> q : recent.values()) {
      while (!q.isEmpty() && now.secondsSince(q.peekFirst().at()) > WINDOW_S) {
        q.pollFirst();
      }
      if (q.isEmpty()) {
        continue;
      }
      double span = Math.max(60, Math.min(WINDOW_S, now.secondsSince(q.peekFirst().at())));
      double expected = q.size() / span * AHEAD_S;
      int keep = (int) Math.min(q.size(), expected + Math.sqrt(expected));
      var latest = q.descendingIterator();
      for (int i = 0; i < keep; i++) {
        JobSpec spec = latest.next().spec();
        out.add(Snapshot.JobView.expected(spec, i, new int[zones]));
      }
    }
    return out;
  }
}
