package org.ternhinge.sim;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.ternhinge.http.Request;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * Users that submit, ask and cancel as the protocol page says, and hold the service to its word.
 */
public final class SimUsers {
  private static final byte[] NONE = new byte[0];

  /** A job about which nothing is answered for so long counts as forgotten. */
  private static final double FORGOTTEN_S = 75;

  /** For so long a submission is repeated, as the protocol page has it. */
  private static final double SUBMITS_FOR_S = 60;

  private final SimCluster world;
  private final Map<JobId, JobSpec> accepted = new LinkedHashMap<>();
  private final Map<JobId, String> lastTold = new HashMap<>();
  private final Map<JobId, Double> lastAnswered = new HashMap<>();
  private final Map<JobId, Double> submittedAt = new HashMap<>();
  private final Map<JobId, Boolean> cancelAsked = new HashMap<>();
  private final Map<JobId, String> finalTold = new HashMap<>();
  private final Map<JobId, ObjectNode> bodies = new HashMap<>();
  private final Set<JobId> heardDone = new HashSet<>();
  private final List<Pending> pending = new ArrayList<>();
  private final StarvationCheck leftWaiting;
  private final SplittableRandom random = new SplittableRandom(5);
  private double quietSince = Double.MAX_VALUE;
  private int odd;

  /**
   * A submission that waits until what it names is accepted, or long over.
   *
   * @param lateS so many seconds after all that it names is over; negative: as soon as it is
   *     accepted
   */
  private record Pending(ObjectNode body, List<JobId> named, double lateS) {}

  /** Odd requests that were answered, by their status. */
  public final Map<Integer, Integer> oddAnswers = new TreeMap<>();

  public SimUsers(SimCluster world) {
    this.world = world;
    this.leftWaiting = new StarvationCheck(world);
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
    world.know(spec, named(body));
    bodies.put(spec.id(), body.deepCopy());
    submittedAt.put(spec.id(), world.clock.seconds());
    send(new Request("POST", "/submissions", Json.bytes(body)), spec);
  }

  private void send(Request request, JobSpec spec) {
    world.user(
        request,
        r -> {
          if (r != null && (r.status() == 200 || r.status() == 201)) {
            accepted.putIfAbsent(spec.id(), spec);
            lastAnswered.put(spec.id(), world.clock.seconds());
            submitPending();
          } else if (r != null && (r.status() == 400 || r.status() == 422)) {
            world.broken.add("refused: " + spec.id() + " with " + r.status());
          } else if (now() < submittedAt(spec.id()) + SUBMITS_FOR_S) {
            world.clock.after(1, () -> send(request, spec));
          }
        });
  }

  /** The jobs that a submission names. */
  private static List<JobId> named(ObjectNode body) {
    List<JobId> out = new ArrayList<>();
    body.path("bidur_eftir").forEach(name -> out.add(new JobId(name.asText())));
    return out;
  }

  /** Submits a job as soon as all that it names are accepted. */
  public void submitAfterNamed(ObjectNode body) {
    pending.add(new Pending(body, named(body), -1));
    submitPending();
  }

  /** Submits a job so many seconds after all that it names are over. */
  public void submitLate(ObjectNode body, double lateS) {
    pending.add(new Pending(body, named(body), lateS));
    submitPending();
  }

  private void submitPending() {
    for (Pending p : List.copyOf(pending)) {
      boolean late = p.lateS >= 0;
      boolean ready =
          p.named.stream().allMatch(id -> accepted.containsKey(id) && (!late || isOver(id)));
      if (ready && pending.remove(p)) {
        world.clock.after(Math.max(0, p.lateS), () -> submit(p.body));
      }
    }
  }

  /** Whether its user was told that a job is done or cancelled. */
  private boolean isOver(JobId id) {
    return finalTold.containsKey(id);
  }

  /** Counts a job as accepted although nobody here has submitted it, since it did so long ago. */
  public void hadAccepted(JobSpec spec) {
    accepted.put(spec.id(), spec);
    lastAnswered.put(spec.id(), world.clock.seconds());
  }

  /**
   * Whether a job may be cancelled by now: its user or that of a job before it has asked for it,
   * and was not told that it was too late.
   */
  public boolean mayBeCancelled(JobId id) {
    return cancelAsked(id)
        || world.before(id).stream()
            .anyMatch(b -> cancelAsked(b) && !"done".equals(finalTold.get(b)));
  }

  /** Whether a job has to be cancelled: it is, or a job before it is. */
  public boolean hasToBeCancelled(JobId id) {
    return "cancelled".equals(finalTold.get(id))
        || world.before(id).stream().anyMatch(b -> "cancelled".equals(finalTold.get(b)));
  }

  /** Asks about every accepted job, and notes those that have waited too long for an answer. */
  public void pollAll() {
    submitPending();
    for (JobId id : accepted()) {
      double from = Math.max(quietSince, lastAnswered.get(id));
      if (world.clock.seconds() - from > FORGOTTEN_S) {
        world.broken.add("forgotten: " + id + " has no answer since " + from);
      }
      poll(id);
      if (world.clock.seconds() > quietSince && !mayBeCancelled(id)) {
        leftWaiting.check(spec(id));
      }
    }
  }

  /**
   * For a share of jobs a cancel, a question and a repeated submission meet the very end of the
   * last task.
   */
  public void cancelAtEnd(double share) {
    world.atLastEnd =
        id -> {
          if (!accepted.containsKey(id) || random.nextDouble() >= share) {
            return;
          }
          double[] after = {0, random.nextDouble() * 0.05, 0.2 + random.nextDouble()};
          cancel(id);
          for (double s : after) {
            world.clock.after(s, () -> poll(id));
            world.clock.after(s, () -> repeat(id, bodies.get(id)));
          }
        };
  }

  /** One of the requests that a careful user would not send. */
  public void oddRequest() {
    switch (random.nextInt(3)) {
      case 0 -> repeatSomeUnfinished();
      case 1 -> cancelSomeDone();
      default -> submitImpossible();
    }
  }

  /**
   * A submission with odd names of other jobs; each has to be refused at once. A node that can't
   * decide may always say 503.
   */
  public void oddDependencies() {
    String id = String.format("wk-8%05d", ++odd);
    ObjectNode body = Specs.json(id, "batch", 2);
    // Of a service that is over nothing but its end is kept, and users never name any.
    List<JobId> services =
        accepted().stream().filter(j -> spec(j).isService() && !cancelAsked(j)).toList();
    List<JobId> others = accepted().stream().filter(j -> !spec(j).isService()).toList();
    List<Integer> wanted = List.of(422);
    boolean namesService = false;
    switch (random.nextInt(10)) {
      case 0 -> {
        wanted = List.of(400);
        body.put("bidur_eftir", "wk-000001");
      }
      case 1 -> {
        wanted = List.of(400);
        body.putObject("bidur_eftir").put("wk-000001", true);
      }
      case 2 -> {
        wanted = List.of(400);
        body.putArray("bidur_eftir").add("no id").add("wk-000001");
      }
      case 3 -> {
        wanted = List.of(400);
        body.putArray("bidur_eftir").add(17);
      }
      case 4 -> {
        wanted = List.of(400);
        body.putArray("bidur_eftir").addNull();
      }
      case 5 -> body.putArray("bidur_eftir").add(id);
      case 6 -> {
        // Names as many jobs as a request body can; which 4xx says so is left open.
        wanted = List.of(400, 413, 422);
        ArrayNode names = body.putArray("bidur_eftir");
        for (int i = 0; i < 4000; i++) {
          names.add("wk-7" + String.format("%05d", i));
        }
      }
      case 7 -> {
        if (services.isEmpty()) {
          return;
        }
        namesService = true;
        body.putArray("bidur_eftir").add(services.get(random.nextInt(services.size())).value());
      }
      case 8 -> {
        ArrayNode names = body.putArray("bidur_eftir").add("wk-700000");
        if (!others.isEmpty()) {
          names.add(others.get(random.nextInt(others.size())).value());
        }
      }
      default -> body.putArray("bidur_eftir").add("wk-700000");
    }
    List<Integer> allowed = wanted;
    JobId service = namesService ? named(body).get(0) : null;
    world.user(
        new Request("POST", "/submissions", Json.bytes(body)),
        r -> {
          boolean overByNow = service != null && cancelAsked(service);
          if (r == null || r.status() == 503 || overByNow) {
            return;
          }
          oddAnswers.merge(r.status(), 1, Integer::sum);
          if (!allowed.contains(r.status())) {
            String what = body.path("bidur_eftir").toString();
            String some = what.substring(0, Math.min(80, what.length()));
            broken("odd: " + id + " after " + some + " answered " + r.status());
          }
        });
  }

  private void broken(String what) {
    world.broken.add(what);
  }

  private void repeatSomeUnfinished() {
    List<JobId> open =
        accepted().stream()
            .filter(id -> !"done".equals(lastTold(id)) && !"cancelled".equals(lastTold(id)))
            .toList();
    if (open.isEmpty()) {
      return;
    }
    JobId id = open.get(random.nextInt(open.size()));
    ObjectNode body = bodies.get(id).deepCopy();
    switch (random.nextInt(4)) {
      case 0 -> body.put("verkbitar", 1 + random.nextInt(50));
      case 1 -> body.put("cpus", 4000.0);
      case 2 -> body.remove("eigandi");
      default -> {}
    }
    repeat(id, body);
  }

  /** A known job answers with its state, whatever its repeat says. */
  private void repeat(JobId id, ObjectNode body) {
    String known = lastTold.get(id);
    world.user(
        new Request("POST", "/submissions", Json.bytes(body)),
        r -> {
          if (r == null || r.status() == 503) {
            return;
          }
          oddAnswers.merge(r.status(), 1, Integer::sum);
          if (r.status() == 200) {
            told(id, state(r.body()), known);
          } else {
            world.broken.add("forgotten: repeat of " + id + " answered " + r.status());
          }
        });
  }

  private void cancelSomeDone() {
    List<JobId> done = accepted().stream().filter(id -> "done".equals(lastTold(id))).toList();
    if (done.isEmpty()) {
      return;
    }
    JobId id = done.get(random.nextInt(done.size()));
    world.user(
        new Request("POST", "/submissions/" + id + "/cancel", NONE),
        r -> {
          if (r == null || r.status() == 503) {
            return;
          }
          oddAnswers.merge(r.status(), 1, Integer::sum);
          if (r.status() != 200) {
            world.broken.add("forgotten: cancel of " + id + " answered " + r.status());
          } else {
            told(id, state(r.body()), "done");
          }
        });
  }

  private void submitImpossible() {
    ObjectNode body = Specs.json(String.format("wk-9%05d", ++odd), "batch", 2);
    int wanted = 422;
    switch (random.nextInt(6)) {
      case 0 -> body.put("cpus", 4000.0);
      case 1 -> body.put("eigandi", "nobody");
      case 2 -> body.put("gerd", "daemon").put("verkbitar", 90_000);
      default -> {
        wanted = 400;
        List<String> fields =
            List.of("ref", "eigandi", "gerd", "forgang", "verkbitar", "cpus", "memory_gb", "mynd");
        body.remove(fields.get(random.nextInt(fields.size())));
      }
    }
    int status = wanted;
    world.user(
        new Request("POST", "/submissions", Json.bytes(body)),
        r -> {
          if (r == null || r.status() == 503) {
            return;
          }
          oddAnswers.merge(r.status(), 1, Integer::sum);
          if (r.status() != status) {
            world.broken.add("odd: " + body + " answered " + r.status() + " and not " + status);
          }
        });
  }

  /** Asks every node about a job, once it is accepted. */
  public void pollEverywhere(JobId id) {
    for (int i = 0; accepted.containsKey(id) && i < world.nodeCount(); i++) {
      pollAt(i, id);
    }
  }

  private void poll(JobId id) {
    pollAt(world.nextInt(world.nodeCount()), id);
  }

  private void pollAt(int node, JobId id) {
    String known = lastTold.get(id);
    world.user(
        node,
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
    Double cancelled = world.toldCancelledAt(id);
    boolean unfinished = state.equals("queued") || state.equals("running");
    if (unfinished && cancelled != null && now() > cancelled + SimCluster.CANCEL_S + 0.5) {
      broken("orphaned: " + id + " is " + state + " although cancelled at " + cancelled);
    }
    if (state.equals("cancelled")) {
      world.toldCancelled(id);
    }
    if (state.equals("done") || state.equals("cancelled")) {
      String first = finalTold.putIfAbsent(id, state);
      if (first != null && !first.equals(state)) {
        world.broken.add("went_back: " + id + " was told " + first + " and then " + state);
      }
    }
    boolean firstDone = state.equals("done") && heardDone.add(id);
    boolean wasOver = "done".equals(before) || "cancelled".equals(before);
    if (wasOver && !before.equals(state)) {
      world.broken.add("went_back: " + id + " from " + before + " to " + state);
    }
    if (state.equals("done") && !world.allCompleted(id)) {
      world.broken.add("not_done: " + id);
    }
    if (state.equals("cancelled") && !mayBeCancelled(id)) {
      broken("went_back: " + id + " cancelled by nobody");
    }
    if (firstDone) {
      // Whoever was cancelled with it before its user heard that it is done was cancelled wrongly.
      for (JobId after : accepted.keySet()) {
        if ("cancelled".equals(finalTold.get(after)) && !mayBeCancelled(after)) {
          broken("went_back: " + after + " cancelled with " + id + ", which is done");
        }
      }
    }
  }

  private double now() {
    return world.clock.seconds();
  }

  /** Asks one node to cancel a job; what follows runs as soon as the user has the answer. */
  public void cancelAt(int node, JobId id, Runnable then) {
    cancelAsked.put(id, true);
    world.user(
        node,
        new Request("POST", "/submissions/" + id + "/cancel", NONE),
        r -> {
          if (r != null && r.status() == 200) {
            told(id, state(r.body()), lastTold.get(id));
            then.run();
          } else if (r != null && r.status() == 404) {
            broken("forgotten: cancel of " + id + " answered 404");
          } else {
            world.clock.after(1, () -> cancelAt(node, id, then));
          }
        });
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
