package org.ternhinge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.EndReason;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.TaskState;
import org.ternhinge.wire.TaskStatus;
import org.ternhinge.wire.WireException;

/** A machine with its worker on loopback sockets: epochs, tokens, leases and tasks. */
final class LoopbackWorker implements AutoCloseable {
  /**
   * What all workers share.
   *
   * @param controllers ports, by which the group reaches them
   * @param runS how long each task runs, in seconds
   */
  record Site(
      HttpClient client,
      ScheduledExecutorService timers,
      TaskHistory history,
      List<Integer> controllers,
      double heartbeatIntervalS,
      double leaseS,
      double runS) {
    double now() {
      return System.nanoTime() / 1e9;
    }

    void after(double seconds, Runnable action) {
      var unused = timers.schedule(action, (long) (seconds * 1e6), TimeUnit.MICROSECONDS);
    }
  }

  private static final double FETCH_S = 0.1;
  private static final double LEASE_CHECK_S = 0.1;
  private static final double ANSWER_TIMEOUT_S = 4;

  private final Site site;
  private final MachineId id;
  private final String zone;
  private final HttpServer server;
  private final int port;
  private final Map<String, TaskStatus> tasks = new LinkedHashMap<>();
  private int epoch = 1;
  private long sequence;
  private long fencingToken;
  private double leaseFrom;
  private int controller;
  private boolean closed;

  LoopbackWorker(Site site, MachineId id, String zone, LinkRelay relay) throws IOException {
    this.site = site;
    this.id = id;
    this.zone = zone;
    this.controller = (int) (Long.parseLong(id.value().substring(2)) % site.controllers.size());
    this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(site.timers);
    server.createContext("/commands", this::commanded);
    server.start();
    this.port = relay.forwardTo(server.getAddress().getPort());
    this.leaseFrom = site.now();
    site.after(0, this::heartbeat);
    site.after(LEASE_CHECK_S, this::checkLease);
  }

  MachineId id() {
    return id;
  }

  String zone() {
    return zone;
  }

  String endpoint() {
    return "127.0.0.1:" + port;
  }

  @Override
  public synchronized void close() {
    closed = true;
    killAll();
    server.stop(0);
  }

  // ---- lease ------------------------------------------------------------------------------------

  private synchronized void checkLease() {
    if (closed) {
      return;
    }
    if (site.now() - leaseFrom > site.leaseS) {
      killAll();
      epoch++;
      leaseFrom = site.now();
    }
    site.after(LEASE_CHECK_S, this::checkLease);
  }

  private void killAll() {
    for (TaskStatus task : List.copyOf(tasks.values())) {
      if (task.state() == TaskState.RUNNING) {
        site.history.left(task.task(), id.value(), false);
      }
    }
    tasks.clear();
  }

  // ---- heartbeats -----------------------------------------------------------------------------

  private synchronized Heartbeat nextHeartbeat() {
    return new Heartbeat(
        id,
        endpoint(),
        "small",
        zone,
        false,
        new AgentEpoch(epoch),
        ++sequence,
        new Term(fencingToken),
        OptionalDouble.empty(),
        List.copyOf(tasks.values()));
  }

  private void heartbeat() {
    int inEpoch;
    byte[] body;
    synchronized (this) {
      if (closed) {
        return;
      }
      inEpoch = epoch;
      body = Json.bytes(nextHeartbeat().write());
    }
    double sent = site.now();
    URI uri = URI.create("http://127.0.0.1:" + site.controllers.get(controller) + "/agent/beat");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .timeout(Duration.ofMillis((long) (ANSWER_TIMEOUT_S * 1000)))
            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    var unused =
        site.client
            .sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
            .whenComplete((response, failure) -> answered(response, inEpoch, sent));
  }

  private synchronized void answered(HttpResponse<byte[]> response, int inEpoch, double sent) {
    double next = site.heartbeatIntervalS;
    try {
      if (response != null && response.statusCode() == 200) {
        if (inEpoch == epoch) {
          accept(Json.parse(response.body()), sent);
        }
      } else {
        next = nextControllerDelayS(response);
      }
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
    site.after(next, this::heartbeat);
  }

  /** Turns to the controller that an answer names, else to the next one. */
  private double nextControllerDelayS(HttpResponse<byte[]> response) throws WireException {
    String named = "";
    if (response != null && response.statusCode() == 421) {
      named = Json.parse(response.body()).path("tilkynna_til").asText("");
    }
    int next = (controller + 1) % site.controllers.size();
    controller = named.isEmpty() ? next : Integer.parseInt(named.substring(5));
    return site.heartbeatIntervalS / 4;
  }

  private void accept(JsonNode answer, double sent) throws WireException {
    long term = Json.count(answer, "valdmerki");
    if (term >= fencingToken) {
      fencingToken = term;
      leaseFrom = sent;
      Command.read(answer).forEach(this::run);
    }
  }

  // ---- commands ---------------------------------------------------------------------------------

  private void commanded(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    int status;
    byte[] answer;
    try {
      status = command(Json.parse(body)) ? 200 : 409;
      answer = Json.bytes(nextHeartbeat().write());
    } catch (WireException e) {
      throw new IOException(e);
    }
    exchange.sendResponseHeaders(status, answer.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(answer);
    }
  }

  private synchronized boolean command(JsonNode message) throws WireException {
    long term = Json.count(message, "valdmerki");
    if (closed || term < fencingToken || Json.count(message, "vakt") != epoch) {
      return false;
    }
    fencingToken = term;
    Command.read(message).forEach(this::run);
    return true;
  }

  private void run(Command command) {
    String key = command.task() + "#" + command.attempt();
    TaskStatus task = tasks.get(key);
    switch (command.op()) {
      case START -> {
        if (task == null) {
          set(key, command, TaskState.FETCHING, null);
          int inEpoch = epoch;
          site.after(FETCH_S, () -> begin(key, command, inEpoch));
        }
      }
      case STOP -> {
        if (task != null && task.state() != TaskState.ENDED) {
          end(key, command, EndReason.STOPPED);
        }
      }
      default -> {
        if (task != null && task.state() == TaskState.ENDED) {
          tasks.remove(key);
        }
      }
    }
  }

  private void set(String key, Command command, TaskState state, EndReason endReason) {
    tasks.put(key, new TaskStatus(command.task(), command.attempt(), state, endReason, false));
  }

  private boolean isIn(String key, TaskState state, int inEpoch) {
    TaskStatus task = tasks.get(key);
    return !closed && epoch == inEpoch && task != null && task.state() == state;
  }

  private synchronized void begin(String key, Command command, int inEpoch) {
    if (isIn(key, TaskState.FETCHING, inEpoch)) {
      set(key, command, TaskState.RUNNING, null);
      site.history.started(site.now(), command.task(), id.value(), zone);
      site.after(site.runS, () -> complete(key, command, inEpoch));
    }
  }

  private synchronized void complete(String key, Command command, int inEpoch) {
    if (isIn(key, TaskState.RUNNING, inEpoch)) {
      end(key, command, EndReason.DONE);
    }
  }

  private void end(String key, Command command, EndReason reason) {
    if (tasks.get(key).state() == TaskState.RUNNING) {
      site.history.left(command.task(), id.value(), reason == EndReason.DONE);
    }
    set(key, command, TaskState.ENDED, reason);
  }
}
