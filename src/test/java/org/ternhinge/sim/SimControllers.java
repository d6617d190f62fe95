package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.Outcome;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.Json;

/** The controller processes of a simulated cluster, and the delivery of requests to them. */
public final class SimControllers {
  private static final double USER_TIMEOUT_S = 5;
  private static final String NODE_PREFIX = "node-";

  private final SimCluster cluster;

  /** The process of each controller, or null while it is down. */
  private final SimController[] processes;

  /** How late each controller handles requests of the others, in seconds. */
  private final double[] peerDelayS;

  /** Whether each controller runs the version before dependent jobs. */
  private final boolean[] oldVersion;

  SimControllers(SimCluster cluster, int count) {
    this.cluster = cluster;
    this.processes = new SimController[count];
    this.peerDelayS = new double[count];
    this.oldVersion = new boolean[count];
  }

  // ---- processes ------------------------------------------------------------------------------

  void startAll() {
    for (int i = 0; i < processes.length; i++) {
      start(i);
    }
  }

  private void start(int index) {
    processes[index] = new SimController(cluster, index);
    processes[index].start();
  }

  /** Sets whether a controller runs the old version from its next start on. */
  public void runsOldVersion(int index, boolean old) {
    oldVersion[index] = old;
  }

  boolean runsOldVersion(int index) {
    return oldVersion[index];
  }

  /** Kills a controller's process; a new one starts after the given delay. */
  public void crash(int index, double restartDelayS) {
    if (processes[index] == null) {
      return;
    }
    processes[index].kill();
    processes[index] = null;
    cluster.clock.schedule(restartDelayS, () -> start(index));
  }

  /** Pauses a controller's process for a while; its clocks keep running. */
  public void pause(int index, double seconds) {
    if (processes[index] != null) {
      processes[index].pause(seconds);
    }
  }

  // ---- requests -------------------------------------------------------------------------------

  /** Delivers a request to a controller at once; a stopped one never responds. */
  public void deliver(int index, Request request, Consumer<Response> answer) {
    SimController process = processes[index];
    if (process != null) {
      process.handle(request, answer);
    }
  }

  /**
   * Sends a user's request to a random controller, as a load balancer does; the response is null if
   * none arrives.
   */
  public void user(Request request, Consumer<Response> answer) {
    user(cluster.random.nextInt(processes.length), request, answer);
  }

  /** Sends a user's request to one controller; the response is null if none arrives. */
  public void user(int index, Request request, Consumer<Response> answer) {
    CompletableFuture<Outcome<Response>> call =
        cluster.networkFaults.call(
            NetworkFaults.REGION,
            NetworkFaults.zoneOf(index),
            () -> false,
            USER_TIMEOUT_S,
            to -> deliver(index, request, response -> to.accept(Outcome.applied(response))));
    AsyncCalls.whenComplete(call, outcome -> answer.accept(responseOf(outcome).orElse(null)));
  }

  /**
   * Delivers a heartbeat to a controller; the result is null if no response arrives within a
   * second.
   */
  public Response answerTo(int index, Heartbeat heartbeat) {
    return answerTo(index, "POST", "/agent/beat", Json.bytes(heartbeat.write()));
  }

  /**
   * Delivers a request to a controller; the result is null if no response arrives within a second.
   */
  public Response answerTo(int index, String method, String path, byte[] body) {
    List<Response> answers = new ArrayList<>();
    deliver(index, new Request(method, path, body), answers::add);
    cluster.clock.runFor(1);
    return answers.isEmpty() ? null : answers.get(0);
  }

  // ---- peers ----------------------------------------------------------------------------------

  /** Sends a request from one controller to another; the response is empty if none arrives. */
  void askPeer(
      SimController from,
      String to,
      Request request,
      double timeoutS,
      Consumer<Optional<Response>> answer) {
    int index = Integer.parseInt(to.substring(NODE_PREFIX.length()));
    NetworkFaults faults = cluster.networkFaults;
    CompletableFuture<Outcome<Response>> call =
        faults.call(
            from.zone(),
            NetworkFaults.zoneOf(index),
            () -> faults.isIsolatedFromPeers(from.index()) || faults.isIsolatedFromPeers(index),
            timeoutS,
            back -> deliverFromPeer(index, request, back));
    AsyncCalls.whenComplete(from.guard(call), outcome -> answer.accept(responseOf(outcome)));
  }

  private void deliverFromPeer(int index, Request request, Consumer<Outcome<Response>> back) {
    SimController process = processes[index];
    if (process == null) {
      return;
    }
    Runnable handling =
        () -> process.handlePeer(request, response -> back.accept(Outcome.applied(response)));
    if (peerDelayS[index] > 0) {
      cluster.clock.schedule(peerDelayS[index], handling);
    } else {
      handling.run();
    }
  }

  /** Makes a controller handle requests of the others late from now on, as an overloaded one. */
  public void delayPeerRequests(int index, double seconds) {
    peerDelayS[index] = seconds;
  }

  private static Optional<Response> responseOf(Outcome<Response> outcome) {
    return outcome instanceof Outcome.Applied<Response> applied
        ? Optional.of(applied.value())
        : Optional.empty();
  }
}
