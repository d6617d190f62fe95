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

/**
 * The settings file of the platform; unknown fields are ignored.
 *
 * @param node name of this node
 * @param zone zone that this node runs in
 * @param clientListen address for users and workers
 * @param peerListen address for the other nodes
 * @param peers peer addresses of the other nodes by name
 * @param cloud address of the cloud's interface
 * @param state address of the key-value store
 * @param zones names of the zones of the deployment
 * @param teams teams by name
 * @param maxSockets limit of this process's sockets
 * @param clockErrorS largest error of the time of day, in seconds
 */
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
    WorkerTimings workers,
    StoreLimits storeLimits,
    CloudLimits cloudLimits,
    int maxSockets,
    double clockErrorS) {

  /** Upper bound of the relative drift between the steady clocks of two machines. */
  public static final double MAX_CLOCK_DRIFT = 0.001;

  /** The intervals of heartbeats, and how long workers run tasks without a leader. In seconds. */
  public record WorkerTimings(
      double heartbeatIntervalS,
      double leaseS,
      double gangWaitS,
      double gangPeerS,
      double cancelS) {
    /** Heartbeat intervals until two heartbeats are certainly missed, their jitter included. */
    private static final double OVERDUE_INTERVALS = 2.2;

    /** Seconds after its last heartbeat from which a worker counts as overdue. */
    public double overdueS() {
      return heartbeatIntervalS * OVERDUE_INTERVALS;
    }
  }

  /** Limits of the key-value store that hold now and after any announced change. */
  public record StoreLimits(double rps, double writeRps, double valueKb, int maxChangesPerSwap) {
    private static final int BYTES_PER_KB = 1024;

    /** The largest value of a key, in bytes. */
    public int valueBytes() {
      return (int) (valueKb * BYTES_PER_KB);
    }
  }

  /** Limits of the cloud. */
  public record CloudLimits(double rps, double listLagS) {}

  /** Reads the settings file of the platform. */
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
