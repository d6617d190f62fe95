package org.ternhinge.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ternhinge.config.Settings.CloudLimits;
import org.ternhinge.config.Settings.StoreLimits;
import org.ternhinge.config.Settings.WorkerTimings;
import org.ternhinge.model.Endpoint;

/**
 * Reads and validates the platform's settings; each error message names the full path of the field.
 */
final class SettingsReader {
  private static final String DEPLOYMENT = "deployment.";
  private static final String TEAMS = DEPLOYMENT + "teams.";
  private static final String WORKERS = DEPLOYMENT + "workers.";
  private static final String STATE = DEPLOYMENT + "state.";
  private static final String CLOUD = DEPLOYMENT + "cloud.";

  /** Maximum number of sockets if the settings define none. */
  private static final int DEFAULT_MAX_SOCKETS = 1000;

  /** Maximum wall-clock error if the settings define none, in milliseconds. */
  private static final double DEFAULT_CLOCK_ERROR_MS = 100;

  private static final double MILLIS_PER_S = 1000;

  private static final double THOUSANDTHS = 1000;

  /** Upper bound of a resource amount, so that no sum of amounts in thousandths overflows. */
  private static final double MAX_RESOURCE_AMOUNT = 1e9;

  /** Added before rounding down, so that no thousandth is lost to floating-point error. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private SettingsReader() {}

  static Settings read(JsonNode root) throws SettingsException {
    if (!root.isObject()) {
      throw new SettingsException("settings: an object is needed");
    }
    Map<String, Endpoint> peers = peers(root);
    JsonNode external = object(root, "external", "");
    JsonNode deployment = object(root, "deployment", "");
    return new Settings(
        text(root, "node", ""),
        root.path("site").asText(""),
        endpoint(root, "client_listen", ""),
        endpoint(root, "peer_listen", ""),
        peers,
        endpoint(external, "cloud", "external."),
        endpoint(external, "state", "external."),
        zones(deployment),
        teams(deployment),
        objectives(deployment),
        workers(object(deployment, "workers", DEPLOYMENT)),
        storeLimits(object(deployment, "state", DEPLOYMENT)),
        cloudLimits(object(deployment, "cloud", DEPLOYMENT)),
        deployment.path("machine_limits").path("max_sockets").asInt(DEFAULT_MAX_SOCKETS),
        deployment.path("clock_error_ms").asDouble(DEFAULT_CLOCK_ERROR_MS) / MILLIS_PER_S);
  }

  private static Map<String, Endpoint> peers(JsonNode root) throws SettingsException {
    Map<String, Endpoint> peers = new LinkedHashMap<>();
    for (JsonNode peer : root.path("peers")) {
      peers.put(text(peer, "node", "peers."), endpoint(peer, "endpoint", "peers."));
    }
    return peers;
  }

  private static List<String> zones(JsonNode deployment) throws SettingsException {
    List<String> zones = new ArrayList<>();
    for (JsonNode zone : deployment.path("zones")) {
      zones.add(zone.asText());
    }
    if (zones.isEmpty()) {
      throw new SettingsException(DEPLOYMENT + "zones: at least one zone is needed");
    }
    return List.copyOf(zones);
  }

  private static Map<String, Team> teams(JsonNode deployment) throws SettingsException {
    Map<String, Team> teams = new LinkedHashMap<>();
    for (JsonNode node : deployment.path("teams")) {
      Team team =
          new Team(
              text(node, "name", TEAMS),
              thousandths(node, "cpus", TEAMS),
              thousandths(node, "cpus_max", TEAMS),
              thousandths(node, "gpus", TEAMS),
              thousandths(node, "gpus_max", TEAMS));
      if (teams.put(team.name(), team) != null) {
        throw new SettingsException(DEPLOYMENT + "teams: " + team.name() + " appears twice");
      }
    }
    return teams;
  }

  private static List<Objective> objectives(JsonNode deployment) {
    List<Objective> objectives = new ArrayList<>();
    for (JsonNode node : deployment.path("objectives")) {
      String kind = node.path("kind").asText("");
      Optional<String> jobClass = Optional.ofNullable(node.path("class").asText(null));
      objectives.add(new Objective(kind, jobClass, node.path("within_s").asDouble(0)));
    }
    return List.copyOf(objectives);
  }

  private static WorkerTimings workers(JsonNode node) throws SettingsException {
    WorkerTimings workers =
        new WorkerTimings(
            positive(node, "report_s", WORKERS),
            positive(node, "lease_s", WORKERS),
            positive(node, "gang_wait_s", WORKERS),
            positive(node, "gang_peer_s", WORKERS),
            positive(node, "cancel_s", WORKERS));
    if (workers.cancelS() < workers.leaseS() * (1 + 2 * Settings.MAX_CLOCK_DRIFT)) {
      // Otherwise a cancellation could miss its deadline: an unreachable worker ends its tasks only
      // when its lease expires, and the lease may have been renewed just before.
      throw new SettingsException(
          WORKERS + "cancel_s: must be at least lease_s plus the clock drift");
    }
    return workers;
  }

  /**
   * Returns the lower of the present and the announced limits: announced limits take effect without
   * notice, and records that were written before must be rewritten under them.
   */
  private static StoreLimits storeLimits(JsonNode node) throws SettingsException {
    JsonNode next = node.get("next");
    if (next != null && !next.isNull() && !next.isObject()) {
      throw new SettingsException(STATE + "next: an object is needed");
    }
    return new StoreLimits(
        lowerOfPresentAndNext(node, next, "rps"),
        lowerOfPresentAndNext(node, next, "write_rps"),
        lowerOfPresentAndNext(node, next, "value_kb"),
        (int) lowerOfPresentAndNext(node, next, "txn_ops"));
  }

  private static double lowerOfPresentAndNext(JsonNode now, JsonNode next, String field)
      throws SettingsException {
    double value = positive(now, field, STATE);
    if (next == null || next.path(field).isMissingNode() || next.path(field).isNull()) {
      return value;
    }
    return Math.min(value, positive(next, field, STATE + "next."));
  }

  private static CloudLimits cloudLimits(JsonNode node) throws SettingsException {
    return new CloudLimits(positive(node, "rps", CLOUD), positive(node, "list_lag_s", CLOUD));
  }

  // ---- single fields --------------------------------------------------------------------------

  private static JsonNode object(JsonNode parent, String field, String path)
      throws SettingsException {
    JsonNode node = parent.get(field);
    if (node == null || !node.isObject()) {
      throw new SettingsException(path + field + ": an object is needed");
    }
    return node;
  }

  private static String text(JsonNode parent, String field, String path) throws SettingsException {
    JsonNode node = parent.get(field);
    if (node == null || !node.isTextual() || node.textValue().isEmpty()) {
      throw new SettingsException(path + field + ": a name is needed");
    }
    return node.textValue();
  }

  private static Endpoint endpoint(JsonNode parent, String field, String path)
      throws SettingsException {
    String text = text(parent, field, path);
    try {
      return Endpoint.parse(text);
    } catch (IllegalArgumentException e) {
      throw new SettingsException(path + field + ": " + e.getMessage());
    }
  }

  private static double positive(JsonNode parent, String field, String path)
      throws SettingsException {
    JsonNode node = parent.get(field);
    if (node == null || !node.isNumber() || !(node.doubleValue() > 0)) {
      throw new SettingsException(path + field + ": a number above 0 is needed");
    }
    return node.doubleValue();
  }

  private static long thousandths(JsonNode parent, String field, String path)
      throws SettingsException {
    JsonNode node = parent.get(field);
    if (node == null || node.isNull()) {
      return 0;
    }
    if (!node.isNumber()
        || !(node.doubleValue() >= 0)
        || node.doubleValue() > MAX_RESOURCE_AMOUNT) {
      throw new SettingsException(path + field + ": a number of at least 0 is needed");
    }
    return (long) Math.floor(node.doubleValue() * THOUSANDTHS + ROUNDING_TOLERANCE);
  }
}
