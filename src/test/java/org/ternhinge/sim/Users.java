package org.ternhinge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.http.Request;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * Users that submit, ask and cancel as the protocol page says, and hold the service to its word.
 */
public final class Users {
  private static final byte[] NONE = new byte[0];

  /** A job about which nothing is answered for so long counts as forgotten. */
  private static final double FORGOTTEN_S = 75;

  private final World world;
  private final Map<JobId, JobSpec> accepted = new LinkedHashMap<>();
  private final Map<JobId, String> lastTold = new HashMap<>();
  private final Map<JobId, Double> lastAnswered = new HashMap<>();
  private final Map<JobId, Double> submittedAt = new HashMap<>();
  private final Map<JobId, Boolean> cancelAsked = new HashMap<>();
  private double quietSince = Double.MAX_VALUE;

  public Users(World world) {
    this.world = world;
  }

  public List<JobId> accepted() {
    return new ArrayList<>(accepted.keySet());
  }

  public JobSpec spec(JobId id) {
    return accepted.get(id);
  }

  public String lastTold(JobId id) {
    return lastTold.get(id);
  }

  public double submittedAt(JobId id) {
    return submittedAt.get(id);
  }

  public boolean cancelAsked(JobId id) {
    return cancelAsked.containsKey(id);
  }

  /** All troubles are over: from now on every job has to be answered for in time. */
  public void quiet() {
    quietSince = world.clock.seconds();
  }

  public void submit(ObjectNode body) {
    JobSpec spec = Specs.of(body);
    world.know(spec);
    submittedAt.put(spec.id(), world.clock.seconds());
    send(new Request("POST", "/submissions", Json.bytes(body)), spec, 8);
  }

  private void send(Request request, JobSpec spec, int tries) {
    world.user(
        request,
        r -> {
          if (r != null && (r.status() == 200 || r.status() == 201)) {
            accepted.putIfAbsent(spec.id(), spec);
            lastAnswered.put(spec.id(), world.clock.seconds());
          } else if (r != null && (r.status() == 400 || r.status() == 422)) {
            world.broken.add("refused: " + spec.id() + " with " + r.status());
          } else if (tries > 0) {
            world.clock.after(1, () -> send(request, spec, tries - 1));
          }
        });
  }

  /** Asks about every accepted job, and notes those that have waited too long for an answer. */
  public void pollAll() {
    for (JobId id : accepted()) {
      double from = Math.max(quietSince, lastAnswered.get(id));
      if (world.clock.seconds() - from > FORGOTTEN_S) {
        world.broken.add("forgotten: " + id + " has no answer since " + from);
      }
      poll(id);
    }
  }

  private void poll(JobId id) {
    String known = lastTold.get(id);
    world.user(
        new Request("GET", "/submissions/" + id, NONE),
        r -> {
          if (r == null || r.status() == 503) {
            return;
          }
          if (r.status() != 200) {
            world.broken.add("forgotten: " + id + " answered " + r.status());
            return;
          }
          told(id, state(r.body()), known);
        });
  }

  /** Only what was known when a question was asked binds its answer. */
  private void told(JobId id, String state, String before) {
    lastAnswered.put(id, world.clock.seconds());
    if (!"cancelled".equals(lastTold.get(id))) {
      lastTold.put(id, state);
    }
    boolean wasOver = "done".equals(before) || "cancelled".equals(before);
    if (wasOver && !before.equals(state)) {
      world.broken.add("went_back: " + id + " from " + before + " to " + state);
    }
    if (state.equals("done") && !world.allCompleted(id)) {
      world.broken.add("not_done: " + id);
    }
    if (state.equals("cancelled") && !cancelAsked.containsKey(id)) {
      world.broken.add("went_back: " + id + " cancelled by nobody");
    }
  }

  public void cancel(JobId id) {
    if (cancelAsked.put(id, true) == null) {
      sendCancel(id, 300);
    }
  }

  private void sendCancel(JobId id, int tries) {
    world.user(
        new Request("POST", "/submissions/" + id + "/cancel", NONE),
        r -> {
          if (r != null && r.status() == 200) {
            if (state(r.body()).equals("cancelled")) {
              world.toldCancelled(id);
            }
            told(id, state(r.body()), lastTold.get(id));
          } else if (r != null && r.status() == 404) {
            world.broken.add("forgotten: cancel of " + id + " answered 404");
          } else if (tries > 0) {
            world.clock.after(1, () -> sendCancel(id, tries - 1));
          }
        });
  }

  private static String state(byte[] body) {
    try {
      return Json.text(Json.parse(body), "astand");
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }
}
