package org.ternhinge.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ternhinge.model.Endpoint;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/** The settings file that the platform hands over; unknown fields are ignored. */
public record Settings(
    String node,
    String zone,
    Endpoint clientListen,
    Endpoint peerListen,
    Map<String, Endpoint> peers,
    Endpoint cloud,
    Endpoint state,
    List<String> zones,
    Map<String, Team> teams,
    List<Objective> objectives,
    Workers workers,
    StateLimits stateLimits,
    CloudLimits cloudLimits,
    int maxSockets,
    double clockErrorS) {

  /** More than the steady clocks of two machines may drift apart. */
  public static final double DRIFT = 0.001;

  /** How workers report and how long they go on alone. */
  public record Workers(
      double reportS, double leaseS, double gangWaitS, double gangPeerS, double cancelS) {}

  /** What the state service takes, now and once it has lowered its limits as announced. */
  public record StateLimits(double rps, double writeRps, double valueKb, int txnOps) {
    public int valueBytes() {
      return (int) (valueKb * 1024);
    }
  }

  /** What the cloud takes. */
  public record CloudLimits(double rps, double listLagS) {}

  public static Settings load(Path file) throws SettingsException {
    byte[] bytes;
    try {
      bytes = Files.readAllBytes(file);
    } catch (IOException e) {
      throw new SettingsException("can't read settings file " + file + ": " + e.getMessage());
    }
    JsonNode root;
    try {
      root = Json.parse(bytes);
    } catch (WireException e) {
      throw new SettingsException("settings file " + file + ": " + e.getMessage());
    }
    return read(root);
  }

  /** Reads and checks the settings; an error names the field. */
  public static Settings read(JsonNode root) throws SettingsException {
    if (!root.isObject()) {
      throw new SettingsException("settings: an object is needed");
    }
    Map<String, Endpoint> peers = new LinkedHashMap<>();
    for (JsonNode peer : root.path("peers")) {
      peers.put(text(peer, "node", "peers."), endpoint(peer, "endpoint", "peers."));
    }
    JsonNode external = object(root, "external", "");
    JsonNode d = object(root, "deployment", "");
    List<String> zones = new ArrayList<>();
    for (JsonNode zone : d.path("zones")) {
      zones.add(zone.asText());
    }
    if (zones.isEmpty()) {
      throw new SettingsException("deployment.zones: at least one zone is needed");
    }
    Map<String, Team> teams = new LinkedHashMap<>();
    for (JsonNode t : d.path("teams")) {
      String at = "deployment.teams.";
      Team team =
          new Team(
              text(t, "name", at),
              milli(t, "cpus", at),
              milli(t, "cpus_max", at),
              milli(t, "gpus", at),
              milli(t, "gpus_max", at));
      if (teams.put(team.name(), team) != null) {
        throw new SettingsException("deployment.teams: " + team.name() + " stands twice");
      }
    }
    List<Objective> objectives = new ArrayList<>();
    for (JsonNode o : d.path("objectives")) {
      String kind = o.path("kind").asText("");
      objectives.add(
          new Objective(kind, o.path("class").asText(null), o.path("within_s").asDouble(0)));
    }
    JsonNode w = object(d, "workers", "deployment.");
    JsonNode s = object(d, "state", "deployment.");
    JsonNode c = object(d, "cloud", "deployment.");
    Workers workers =
        new Workers(
            positive(w, "report_s", "deployment.workers."),
            positive(w, "lease_s", "deployment.workers."),
            positive(w, "gang_wait_s", "deployment.workers."),
            positive(w, "gang_peer_s", "deployment.workers."),
            positive(w, "cancel_s", "deployment.workers."));
    if (workers.cancelS < workers.leaseS * (1 + 2 * DRIFT)) {
      // No scheduler can keep the promise then: a worker that nobody reaches ends its tasks only
      // with its lease, and the answer that renewed it may have been given just before.
      throw new SettingsException(
          "deployment.workers.cancel_s: lease_s has to be over within it, clocks' drift included");
    }
    return new Settings(
        text(root, "node", ""),
        root.path("site").asText(""),
        endpoint(root, "client_listen", ""),
        endpoint(root, "peer_listen", ""),
        peers,
        endpoint(external, "cloud", "external."),
        endpoint(external, "state", "external."),
        List.copyOf(zones),
        teams,
        List.copyOf(objectives),
        workers,
        stateLimits(s),
        new CloudLimits(
            positive(c, "rps", "deployment.cloud."),
            positive(c, "list_lag_s", "deployment.cloud.")),
        d.path("machine_limits").path("max_sockets").asInt(1000),
        d.path("clock_error_ms").asDouble(100) / 1000);
  }

  /**
   * The limits that hold now, or the ones announced where these are smaller: they come without
   * notice, and what was written before has to be rewritten under them.
   */
  private static StateLimits stateLimits(JsonNode s) throws SettingsException {
    String at = "deployment.state.";
    JsonNode next = s.get("next");
    if (next != null && !next.isNull() && !next.isObject()) {
      throw new SettingsException(at + "next: an object is needed");
    }
    return new StateLimits(
        lesser(s, next, "rps"),
        lesser(s, next, "write_rps"),
        lesser(s, next, "value_kb"),
        (int) lesser(s, next, "txn_ops"));
  }

  private static double lesser(JsonNode now, JsonNode next, String field) throws SettingsException {
    double value = positive(now, field, "deployment.state.");
    if (next == null || next.path(field).isMissingNode() || next.path(field).isNull()) {
      return value;
    }
    return Math.min(value, positive(next, field, "deployment.state.next."));
  }

  private static JsonNode object(JsonNode at, String field, String path) throws SettingsException {
    JsonNode node = at.get(field);
    if (node == null || !node.isObject()) {
      throw new SettingsException(path + field + ": an object is needed");
    }
    return node;
  }

  private static String text(JsonNode at, String field, String path) throws SettingsException {
    JsonNode node = at.get(field);
    if (node == null || !node.isTextual() || node.textValue().isEmpty()) {
      throw new SettingsException(path + field + ": a name is needed");
    }
    return node.textValue();
  }

  private static Endpoint endpoint(JsonNode at, String field, String path)
      throws SettingsException {
    String text = text(at, field, path);
    try {
      return Endpoint.parse(text);
    } catch (IllegalArgumentException e) {
      throw new SettingsException(path + field + ": " + e.getMessage());
    }
  }

  private static double positive(JsonNode at, String field, String path) throws SettingsException {
    JsonNode node = at.get(field);
    if (node == null || !node.isNumber() || !(node.doubleValue() > 0)) {
      throw new SettingsException(path + field + ": a number above 0 is needed");
    }
    return node.doubleValue();
  }

  private static long milli(JsonNode at, String field, String path) throws SettingsException {
    JsonNode node = at.get(field);
    if (node == null || node.isNull()) {
      return 0;
    }
    if (!node.isNumber() || !(node.doubleValue() >= 0) || node.doubleValue() > 1e9) {
      throw new SettingsException(path + field + ": a number from 0 on is needed");
    }
    return (long) Math.floor(node.doubleValue() * 1000 + 1e-6);
  }
}
