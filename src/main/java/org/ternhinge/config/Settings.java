package org.ternhinge.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
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
    StoreLimits storeLimits,
    CloudLimits cloudLimits,
    int maxSockets,
    double clockErrorS) {

  /** More than the steady clocks of two machines may drift apart. */
  public static final double DRIFT = 0.001;

  /** How workers report and how long they go on alone. */
  public record Workers(
      double heartbeatIntervalS,
      double leaseS,
      double gangWaitS,
      double gangPeerS,
      double cancelS) {
    /** A worker without a heartbeat for so long has missed two; the rest is their spread. */
    private static final double OVERDUE_INTERVALS = 2.2;

    /** Seconds after its last heartbeat from which a worker counts as overdue. */
    public double overdueS() {
      return heartbeatIntervalS * OVERDUE_INTERVALS;
    }
  }

  /** What the key-value store takes, now and once it has lowered its limits as announced. */
  public record StoreLimits(double rps, double writeRps, double valueKb, int maxChangesPerSwap) {
    /** The largest value of a key, in bytes. */
    public int valueBytes() {
      return (int) (valueKb * 1024);
    }
  }

  /** What the cloud takes. */
  public record CloudLimits(double rps, double listLagS) {}

  /** Reads the settings file that the platform hands over. */
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
    return SettingsReader.read(root);
  }
}
