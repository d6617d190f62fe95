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

/**
 * Simulates a machine with its worker over loopback sockets: epochs, fencing tokens, leases and
 * tasks.
 */
final class LoopbackWorker implements AutoCloseable {
  /**
   * Settings and services that the workers of a zone share.
   *
   * @param controllers ports of the zone's relay that lead to the controllers
   * @param runS how long each task runs, in seconds
   * @param duplicates delivers direct messages once more
   */
  record Context(
      HttpClient client,
      ScheduledExecutorService timers,
      TaskHistory history,
      List<Integer> controllers,
      double heartbeatIntervalS,
      double leaseS,
      double runS,
      DuplicateCommands duplicates) {
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

  private final Context context;
  private final MachineId id;
  private final String zone;
  private final HttpServer server;
  private final int port;
  private final Map<String, TaskStatus> tasks = new LinkedHashMap<>();
  private int epoch = 1;
  private long sequence;
  private long fencingToken;
  private boolean registered;
  private double leaseRenewedAt;
  private int controller;
  private boolean closed;

  LoopbackWorker(Context context, MachineId id, String zone, LinkRelay relay) throws IOException {
    this.context = context;
    this.id = id;
    this.zone = zone;
    this.controller = (int) (Long.parseLong(id.value().substring(2)) % context.controllers.size());
    this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(context.timers);
    server.createContext("/commands", this::handleCommands);
    server.start();
    this.port = relay.forwardTo(server.getAddress().getPort());
    this.leaseRenewedAt = context.now();
    context.after(0, this::heartbeat);
    context.after(LEASE_CHECK_S, this::checkLease);
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

  /**
   * Whether a leader has answered a heartbeat that carried its own fencing token; only then does it
   * place tasks on this machine.
   */
  synchronized boolean isRegistered() {
    return registered;
  }

  @Override
  public synchronized void close() {
    closed = true;
    endAllTasks();
    server.stop(0);
  }

  // ---- lease ------------------------------------------------------------------------------------

  private synchronized void checkLease() {
    if (closed) {
      return;
    }
    if (context.now() - leaseRenewedAt > context.leaseS) {
      endAllTasks();
      epoch++;
      leaseRenewedAt = context.now();
    }
    context.after(LEASE_CHECK_S, this::checkLease);
  }

  private void endAllTasks() {
    for (TaskStatus task : List.copyOf(tasks.values())) {
      if (task.state() == TaskState.RUNNING) {
        context.history.recordRemoval(task.task(), id.value(), false);
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
    int startEpoch;
    long sentToken;
    byte[] body;
    synchronized (this) {
      if (closed) {
        return;
      }
      startEpoch = epoch;
      sentToken = fencingToken;
      body = Json.bytes(nextHeartbeat().write());
    }
    double sent = context.now();
    URI uri = URI.create("http://127.0.0.1:" + context.controllers.get(controller) + "/agent/beat");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .timeout(Duration.ofMillis((long) (ANSWER_TIMEOUT_S * 1000)))
            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    var unused =
        context
            .client
            .sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
            .whenComplete(
                (response, failure) -> handleResponse(response, startEpoch, sentToken, sent));
  }

  private synchronized void handleResponse(
      HttpResponse<byte[]> response, int startEpoch, long sentToken, double sent) {
    double next = context.heartbeatIntervalS;
    try {
      if (response != null && response.statusCode() == 200) {
        if (startEpoch == epoch) {
          applyAnswer(Json.parse(response.body()), sent);
          registered |= sentToken == fencingToken;
        }
      } else {
        next = nextControllerDelayS(response);
      }
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
    context.after(next, this::heartbeat);
  }

  /**
   * Switches to the controller that the response names, or else to the next one; returns the delay.
   */
  private double nextControllerDelayS(HttpResponse<byte[]> response) throws WireException {
    String named = "";
    if (response != null && response.statusCode() == 421) {
      named = Json.parse(response.body()).path("tilkynna_til").asText("");
    }
    int next = (controller + 1) % context.controllers.size();
    controller = named.isEmpty() ? next : Integer.parseInt(named.substring(5));
    return context.heartbeatIntervalS / 4;
  }

  private void applyAnswer(JsonNode answer, double sent) throws WireException {
    long term = Json.count(answer, "valdmerki");
    if (term >= fencingToken) {
      fencingToken = term;
      leaseRenewedAt = sent;
      Command.read(answer).forEach(this::execute);
    }
  }

  // ---- commands ---------------------------------------------------------------------------------

  private void handleCommands(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    int status;
    byte[] answer;
    try {
      status = executeIfCurrent(Json.parse(body)) ? 200 : 409;
      answer = Json.bytes(nextHeartbeat().write());
    } catch (WireException e) {
      throw new IOException(e);
    }
    exchange.sendResponseHeaders(status, answer.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(answer);
    }
    if (status == 200) {
      context.duplicates.executed(body, this::receiveDuplicate);
    }
  }

  private void receiveDuplicate(byte[] message) {
    try {
      executeIfCurrent(Json.parse(message));
    } catch (WireException e) {
      throw new IllegalStateException(e);
    }
  }

  private synchronized boolean executeIfCurrent(JsonNode message) throws WireException {
    long term = Json.count(message, "valdmerki");
    if (closed || term < fencingToken || Json.count(message, "vakt") != epoch) {
      return false;
    }
    fencingToken = term;
    Command.read(message).forEach(this::execute);
    return true;
  }

  private void execute(Command command) {
    String key = command.task() + "#" + command.attempt();
    TaskStatus task = tasks.get(key);
    switch (command.op()) {
      case START -> {
        if (task == null) {
          setStatus(key, command, TaskState.FETCHING, null);
          int startEpoch = epoch;
          context.after(FETCH_S, () -> startRunning(key, command, startEpoch));
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

  private void setStatus(String key, Command command, TaskState state, EndReason endReason) {
    tasks.put(key, new TaskStatus(command.task(), command.attempt(), state, endReason, false));
  }

  private boolean hasState(String key, TaskState state, int startEpoch) {
    TaskStatus task = tasks.get(key);
    return !closed && epoch == startEpoch && task != null && task.state() == state;
  }

  private synchronized void startRunning(String key, Command command, int startEpoch) {
    if (hasState(key, TaskState.FETCHING, startEpoch)) {
      setStatus(key, command, TaskState.RUNNING, null);
      context.history.recordStart(context.now(), command.task(), id.value(), zone);
      context.after(context.runS, () -> complete(key, command, startEpoch));
    }
  }

  private synchronized void complete(String key, Command command, int startEpoch) {
    if (hasState(key, TaskState.RUNNING, startEpoch)) {
      end(key, command, EndReason.DONE);
    }
  }

  private void end(String key, Command command, EndReason reason) {
    if (tasks.get(key).state() == TaskState.RUNNING) {
      context.history.recordRemoval(command.task(), id.value(), reason == EndReason.DONE);
    }
    setStatus(key, command, TaskState.ENDED, reason);
  }
}
